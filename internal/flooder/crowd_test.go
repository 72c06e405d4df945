package flooder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"papayapaddle/platform/standin"
)

// run plays a flood and checks the router while the crowd pauses, after it has sent the rest, and after it has left.
func run(t *testing.T, f flood) {
	cpuShare := 1.0
	if f.port == refusalPort {
		cpuShare = filledCPUShare
	}
	r := start(t, cpuShare, f.responseBytes)
	r.answersOrdinary(f.port, "before the flood")
	if f.port == refusalPort {
		r.fill()
	}
	c := &crowd{flood: f, address: r.address(f.port), ended: make(chan struct{}), resumed: make(chan struct{})}
	resume, end := sync.OnceFunc(func() { close(c.resumed) }), sync.OnceFunc(func() { close(c.ended) })
	defer c.open.Wait()
	defer end()
	defer resume()
	for range rounds - 1 {
		c.playRound(c.sendAll)
	}
	c.members.Add(crowdSize)
	c.playRound(c.sendAndPause)
	for range ordinaryRequests {
		r.answersOrdinary(f.port, "while the crowd pauses")
	}
	r.check("while the crowd pauses")
	resume()
	c.members.Wait()
	r.answersOrdinary(f.port, "after the crowd has sent the rest")
	r.check("after the crowd has sent the rest")
	end()
	c.open.Wait()
	r.answersOrdinary(f.port, "after the flood")
	r.check("after the flood")
}

// crowd is the connections of a flood.
type crowd struct {
	flood   flood
	address string
	// resumed and ended are closed when the crowd may send the rest, and when it must leave.
	resumed, ended chan struct{}
	// members are the connections of the last round that have not sent the rest yet, and open those that are open.
	members, open sync.WaitGroup
}

// playRound lets all connections of the crowd do something at the same time.
func (c *crowd) playRound(play func(i int)) {
	var round sync.WaitGroup
	for i := range crowdSize {
		round.Go(func() { play(i) })
	}
	round.Wait()
}

// connect opens a connection and sends what is sent before the pause. Errors are no concern of the crowd: the router
// may close any of its connections.
func (c *crowd) connect(i int) net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, connTime)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(connTime))
	_, _ = io.WriteString(conn, c.flood.held(i))
	return conn
}

// sendAll sends everything on a new connection and waits until the router closes it.
func (c *crowd) sendAll(i int) {
	conn := c.connect(i)
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, c.flood.rest(i))
	_, _ = io.Copy(io.Discard, conn)
}

// sendAndPause sends the first part on a new connection. The rest follows in the background.
func (c *crowd) sendAndPause(i int) {
	conn := c.connect(i)
	c.open.Go(func() {
		<-c.resumed
		if conn != nil {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(connTime))
			_, _ = io.WriteString(conn, c.flood.rest(i))
		}
		c.members.Done()
		<-c.ended
	})
}

// doWithin sends a request and returns the response, unless that takes too long.
func doWithin(req standin.Request, timeout time.Duration) (standin.Response, error) {
	conn, err := net.DialTimeout("tcp", req.Router, timeout)
	if err != nil {
		return standin.Response{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return standin.Response{}, err
	}
	if _, err := io.WriteString(conn, req.Raw()); err != nil {
		return standin.Response{}, err
	}
	resp, _, err := standin.ReadResponse(bufio.NewReader(conn))
	return resp, err
}

// stream sends a request for a stream and reads it until it or the context ends. It returns an error unless it got
// a stream.
func stream(ctx context.Context, req standin.Request) error {
	conn, err := net.DialTimeout("tcp", req.Router, connTime)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := io.WriteString(conn, req.Raw()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	// A stream that ends early is followed by the next one.
	_, _ = io.Copy(io.Discard, resp.Body)
	return nil
}
