package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// checkWhole reports whether an answer that looks complete is the whole answer of its server.
func checkWhole(d *deployment, a answer, stream bool, pieces, piece int) bool {
	d.note("client: %v", a)
	if a.status != 200 || !a.complete {
		return true
	}
	if whole := strings.Join(piecesOf(a.id, stream, pieces, piece), ""); a.body != whole {
		d.note("MIXED: request %s got a success that looks complete with %d of the %d bytes of its server's answer", a.id, len(a.body), len(whole))
		return false
	}
	return true
}

// verdict collects the results of requests that run at the same time.
type verdict struct {
	mu     sync.Mutex
	wg     sync.WaitGroup
	broken bool
	whole  int
}

func (v *verdict) run(f func() (held, whole bool)) {
	v.wg.Go(func() {
		held, whole := f()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.broken = v.broken || !held
		if whole {
			v.whole++
		}
	})
}

// busiest returns the server with the most answers in progress, and fails if it has none.
func (d *deployment) busiest() (out *server, err error) {
	most := 0
	for _, s := range d.servers {
		if n := s.inProgress(); n > most && !s.hasEnded() {
			most, out = n, s
		}
	}
	if out == nil {
		return nil, errors.New("no answer is in progress")
	}
	d.note("server %s has %d answers in progress", out.id, most)
	return out, nil
}

// kill ends a server at once.
func (d *deployment) kill(s *server) {
	d.note("server %s crashes", s.id)
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	<-s.done
}

// prepare starts servers of a service and a router.
func (d *deployment) prepare(servers int, service string, serverArgs ...string) (*router, error) {
	for i := range servers {
		if _, err := d.startServer(fmt.Sprintf("i-7f3a91c%d", i+1), service, serverArgs...); err != nil {
			return nil, err
		}
	}
	d.putConfig()
	r, err := d.addRouter()
	if err != nil {
		return nil, err
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return nil, err
	}
	// The router is in touch after stableWindowMs.
	time.Sleep(4 * time.Second)
	return r, nil
}

// Streams of the cases: events of 5 tokens, 50 ms apart, each of 55 bytes or so.
const (
	eventBytes    = 55
	eventInterval = 50 * time.Millisecond
)

func streamArgs(events int) []string {
	return []string{
		"-framed=false", "-first=50ms", "-interval=" + eventInterval.String(), fmt.Sprintf("-pieces=%d", events), fmt.Sprintf("-piece=%d", eventBytes),
	}
}

// sendStreams sends requests for streams, each from a client of its own: by turns on the route that may be resumed and
// on the other one.
func (d *deployment) sendStreams(v *verdict, r *router, n, events int, gap time.Duration) {
	for range n {
		id, prefix := fmt.Sprintf("9c41d07be2a3%04x", d.streams), []string{streamPrefix, resumePrefix}[d.streams%2]
		d.streams++
		v.run(func() (bool, bool) {
			d.note("client: sends request %s, POST %s", id, prefix)
			a := send(r.callers, "POST", prefix, id, apiKey, 15*time.Second, strings.Repeat("b", 800))
			return checkWhole(d, a, true, events, eventBytes), a.status == 200 && a.complete
		})
		time.Sleep(gap)
	}
}

// result returns whether the rule held. A case in which nobody was served could not run.
func (d *deployment) result(v *verdict, r *router) (bool, error) {
	d.noteLog(r, "event=server-excluded")
	d.noteLog(r, "event=request ")
	if v.whole == 0 {
		return false, errors.New("no request was served")
	}
	return !v.broken, nil
}

// drainingExit: four model servers send streams that have no length and end with their connection. One of the
// servers is taken away: it reports that it is draining, serves for drainMs and half a second, and exits.
func drainingExit(d *deployment, trouble bool) (bool, error) {
	const events = 120
	r, err := d.prepare(4, "models", streamArgs(events)...)
	if err != nil {
		return false, err
	}
	var v verdict
	d.sendStreams(&v, r, 24, events, 20*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		s, err := d.busiest()
		if err != nil {
			return false, err
		}
		s.state = "draining"
		d.report(s)
		time.Sleep(2500 * time.Millisecond)
		if s.inProgress() == 0 {
			return false, errors.New("the server has no answer in progress")
		}
		d.note("server %s exits", s.id)
		_ = s.cmd.Process.Signal(syscall.SIGTERM)
		<-s.done
		if s.unlist() {
			d.store.remove("servers", s.id)
		}
	}
	v.wg.Wait()
	return d.result(&v, r)
}

// crashAfterPause: seven model servers send streams that have no length and end with their connection. One of them
// begins to turn requests away and to ask for a pause, and crashes in that pause.
func crashAfterPause(d *deployment, trouble bool) (bool, error) {
	const events = 120
	r, err := d.prepare(7, "models", append(streamArgs(events), "-shed=0.4", "-retry-after=2")...)
	if err != nil {
		return false, err
	}
	var v verdict
	d.sendStreams(&v, r, 56, events, 20*time.Millisecond)
	var s *server
	if trouble {
		if s, err = d.busiest(); err != nil {
			return false, err
		}
		d.note("server %s turns two fifths of its requests away from now on", s.id)
		_ = s.cmd.Process.Signal(syscall.SIGUSR1)
	}
	for range 120 {
		d.sendStreams(&v, r, 1, events, 20*time.Millisecond)
		if trouble && s.turnedSomeAway() {
			break
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if !s.turnedSomeAway() || s.inProgress() == 0 {
			return false, errors.New("the server turned no request away, or has no answer in progress")
		}
		d.kill(s)
	}
	v.wg.Wait()
	return d.result(&v, r)
}

// crashInLargeAnswer: four servers send answers of 640 KiB that have no length and end with their connection. One of
// them crashes.
func crashInLargeAnswer(d *deployment, trouble bool) (bool, error) {
	const pieces, piece = 40, 16 << 10
	r, err := d.prepare(4, "booking", "-framed=false", "-interval=40ms", fmt.Sprintf("-pieces=%d", pieces), fmt.Sprintf("-piece=%d", piece))
	if err != nil {
		return false, err
	}
	var v verdict
	for i := range 12 {
		id, method, prefix := fmt.Sprintf("9c41d07be2a3%04x", i), "GET", readPrefix
		if i%2 == 1 {
			method, prefix = "POST", bookPrefix
		}
		v.run(func() (bool, bool) {
			d.note("client: sends request %s, %s %s", id, method, prefix)
			a := send(r.callers, method, prefix, id, apiKey, 5*time.Second, "")
			return checkWhole(d, a, false, pieces, piece), a.status == 200 && a.complete
		})
	}
	if trouble {
		time.Sleep(1200 * time.Millisecond)
		s, err := d.busiest()
		if err != nil {
			return false, err
		}
		d.kill(s)
	}
	v.wg.Wait()
	return d.result(&v, r)
}

const (
	// keptConnections is the number of connections that other machines have to each server, idle or for requests that wait.
	keptConnections = 200
	// crashes is how often a server crashes, one of four each time.
	crashes = 4
)

// crashWithStreams: four model servers send streams that have no length and end with their connection. One of the servers
// crashes, and another one comes in its place; this happens four times.
func crashWithStreams(d *deployment, trouble bool) (bool, error) {
	const events = 60
	r, err := d.prepare(4, "models", streamArgs(events)...)
	if err != nil {
		return false, err
	}
	var v verdict
	for round := range crashes {
		kept, err := d.keepConnections()
		if err != nil {
			return false, err
		}
		d.sendStreams(&v, r, 120, events, 10*time.Millisecond)
		if trouble {
			time.Sleep(time.Second)
			s, err := d.busiest()
			if err != nil {
				return false, err
			}
			d.kill(s)
		}
		v.wg.Wait()
		for _, c := range kept {
			_ = c.Close()
		}
		if trouble && round+1 < crashes {
			if _, err := d.startServer(fmt.Sprintf("i-02d9e6b%d", round), "models", streamArgs(events)...); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	return d.result(&v, r)
}

// keepConnections opens the connections that other machines have to the servers.
func (d *deployment) keepConnections() (kept []net.Conn, err error) {
	for _, s := range d.servers {
		if s.hasEnded() {
			continue
		}
		for range keptConnections {
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				return nil, err
			}
			kept = append(kept, c)
		}
	}
	return kept, nil
}

func (s *server) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
