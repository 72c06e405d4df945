package conductor

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

const (
	// lagStep is the period in which the router looks how late it wakes, and
	// lagSmoothing the weight of the newest look.
	lagStep      = 100 * time.Millisecond
	lagSmoothing = 0.5
	// maxLag is the lateness above which the processor cannot keep up: a stream's
	// events would wait that long at each step.
	maxLag = 60 * time.Millisecond
	// requestBytes is about the memory of one request that is served: two
	// connections with their buffers and goroutines, headers and a timer.
	requestBytes = 64 << 10
	// connectionBytes is about the memory of a caller's unused connection.
	connectionBytes = 16 << 10
	// requestShare and connectionShare are the parts of the memory for them.
	requestShare    = 0.4
	connectionShare = 0.35
	// plainShare is how much further requests for plain services may go: they are
	// short and light.
	plainShare = 1.25
	// reservedDescriptors are kept for files, peers and the store, and callerShare
	// is the part of the others for callers; the rest is for servers.
	reservedDescriptors = 240
	callerShare         = 0.6
)

// pressure tells when the router has to turn work away for its own sake.
type pressure struct {
	// maxRequests and maxConnections follow from the instance's memory and
	// descriptors.
	maxRequests    int64
	maxConnections int64

	lag atomic.Int64
}

func newPressure(r platform.Resource) *pressure {
	memory := float64(r.MemoryMB << 20)
	connections := memory * connectionShare / connectionBytes
	if r.MaxDescriptors > reservedDescriptors {
		connections = min(connections, float64(r.MaxDescriptors-reservedDescriptors)*callerShare)
	}
	return &pressure{
		maxRequests:    int64(memory * requestShare / requestBytes),
		maxConnections: int64(connections),
	}
}

// run measures the lag until the context ends.
func (p *pressure) run(ctx context.Context) {
	t := time.NewTimer(lagStep)
	defer t.Stop()
	for {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.note(time.Since(began) - lagStep)
			t.Reset(lagStep)
		}
	}
}

// note takes in how late the router woke.
func (p *pressure) note(late time.Duration) {
	old := time.Duration(p.lag.Load())
	p.lag.Store(int64(old + time.Duration(lagSmoothing*float64(late-old))))
}

// busy says why a request cannot be taken, or nothing.
func (p *pressure) busy(work cataloger.Work, active int64) string {
	most := float64(p.maxRequests)
	if work != cataloger.WorkStream {
		most *= plainShare
	}
	switch {
	case float64(active) > most:
		return "router-full"
	case work == cataloger.WorkStream && time.Duration(p.lag.Load()) > maxLag:
		return "router-slow"
	}
	return ""
}

// boundedListener closes connections beyond a number at once, so that callers
// try another router instead of waiting.
type boundedListener struct {
	net.Listener
	most int64
	open atomic.Int64
	// refused is told of each connection that was closed.
	refused func()
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &boundedConn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		l.refused()
		c.Close()
	}
}

type boundedConn struct {
	net.Conn
	l    *boundedListener
	once sync.Once
}

// Close closes the connection and makes room for another one.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
