package main

import (
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

// busiest returns the server that ran the most requests.
func (d *deployment) busiest() *server {
	var out *server
	most := -1
	for _, s := range d.servers {
		if s.hasEnded() {
			continue
		}
		s.mu.Lock()
		if n := len(s.runs); n > most {
			most, out = n, s
		}
		s.mu.Unlock()
	}
	return out
}

// prepare starts four servers of a service and a router.
func (d *deployment) prepare(service string, serverArgs ...string) (*router, error) {
	for i := range 4 {
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

// drainingExit: four model servers send streams that have no length and end with their connection. One of the
// servers is taken away: it reports that it is draining, serves for drainMs and half a second, and exits.
func drainingExit(d *deployment, trouble bool) (bool, error) {
	const pieces, piece = 60, 55
	r, err := d.prepare("models", "-framed=false", "-interval=100ms", fmt.Sprintf("-pieces=%d", pieces), fmt.Sprintf("-piece=%d", piece))
	if err != nil {
		return false, err
	}
	var v verdict
	for i := range 24 {
		id, prefix := fmt.Sprintf("9c41d07be2a3%04x", i), []string{streamPrefix, resumePrefix}[i%2]
		v.run(func() (bool, bool) {
			d.note("client: sends request %s, POST %s", id, prefix)
			a := send(r.callers, "POST", prefix, id, apiKey, 15*time.Second, strings.Repeat("b", 800))
			return checkWhole(d, a, true, pieces, piece), a.status == 200 && a.complete
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		s := d.busiest()
		s.state = "draining"
		d.report(s)
		time.Sleep(2500 * time.Millisecond)
		d.note("server %s exits", s.id)
		_ = s.cmd.Process.Signal(syscall.SIGTERM)
		<-s.done
		if s.unlist() {
			d.store.remove("servers", s.id)
		}
	}
	v.wg.Wait()
	d.noteLog(r, "event=request ")
	if !v.broken && !trouble && v.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return !v.broken, nil
}

// crashInLargeAnswer: four servers send answers of 640 KiB that have no length and end with their connection. One of
// them crashes.
func crashInLargeAnswer(d *deployment, trouble bool) (bool, error) {
	const pieces, piece = 40, 16 << 10
	r, err := d.prepare("booking", "-framed=false", "-interval=40ms", fmt.Sprintf("-pieces=%d", pieces), fmt.Sprintf("-piece=%d", piece))
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
		s := d.busiest()
		d.note("server %s crashes", s.id)
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
	}
	v.wg.Wait()
	d.noteLog(r, "event=request ")
	if !v.broken && !trouble && v.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return !v.broken, nil
}

// crashOfFullServer: four servers of the plain service are full, turn some requests away and ask for a pause. Then one of
// them crashes in the middle of its answers, which have no length and end with their connection.
func crashOfFullServer(d *deployment, trouble bool) (bool, error) {
	const pieces, piece = 10, 80
	r, err := d.prepare("booking", "-framed=false", "-interval=60ms", fmt.Sprintf("-pieces=%d", pieces), fmt.Sprintf("-piece=%d", piece),
		"-slots=6", "-queue=2", "-retry-after=2")
	if err != nil {
		return false, err
	}
	var v verdict
	for i := range 48 {
		id, method, prefix := fmt.Sprintf("9c41d07be2a3%04x", i), "GET", readPrefix
		if i%2 == 1 {
			method, prefix = "POST", bookPrefix
		}
		v.run(func() (bool, bool) {
			d.note("client: sends request %s, %s %s", id, method, prefix)
			a := send(r.callers, method, prefix, id, apiKey, 3*time.Second, "")
			return checkWhole(d, a, false, pieces, piece), a.status == 200 && a.complete
		})
		time.Sleep(4 * time.Millisecond)
	}
	if trouble {
		time.Sleep(150 * time.Millisecond)
		s := d.busiest()
		d.note("server %s crashes", s.id)
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
	}
	v.wg.Wait()
	d.noteLog(r, "event=server-excluded")
	d.noteLog(r, "event=request ")
	if !v.broken && !trouble && v.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return !v.broken, nil
}

const (
	// keptConnections is the number of connections that other machines keep to each server. The sheet allows 360 to each.
	keptConnections = 300
	// crashes is how often a server crashes, one of four each time.
	crashes = 4
)

// crashWithStreams: four model servers send streams that have no length and end with their connection. One of the servers
// crashes, and another one comes in its place; this happens four times.
func crashWithStreams(d *deployment, trouble bool) (bool, error) {
	const pieces, piece = 30, 55
	args := []string{"-framed=false", "-interval=100ms", fmt.Sprintf("-pieces=%d", pieces), fmt.Sprintf("-piece=%d", piece)}
	r, err := d.prepare("models", args...)
	if err != nil {
		return false, err
	}
	var v verdict
	for round := range crashes {
		kept, err := d.keepConnections()
		if err != nil {
			return false, err
		}
		for i := range 120 {
			id, prefix := fmt.Sprintf("9c41d07be2%02x%04x", round, i), []string{streamPrefix, resumePrefix}[i%2]
			v.run(func() (bool, bool) {
				d.note("client: sends request %s, POST %s", id, prefix)
				a := send(r.callers, "POST", prefix, id, apiKey, 15*time.Second, strings.Repeat("b", 800))
				return checkWhole(d, a, true, pieces, piece), a.status == 200 && a.complete
			})
			time.Sleep(10 * time.Millisecond)
		}
		if trouble {
			time.Sleep(time.Second)
			s := d.busiest()
			d.note("server %s crashes", s.id)
			_ = s.cmd.Process.Signal(syscall.SIGKILL)
			<-s.done
		}
		v.wg.Wait()
		for _, c := range kept {
			_ = c.Close()
		}
		if trouble && round+1 < crashes {
			if _, err := d.startServer(fmt.Sprintf("i-02d9e6b%d", round), "models", args...); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
		for _, s := range d.servers {
			s.forgetRuns()
		}
	}
	d.noteLog(r, "event=request ")
	if !v.broken && !trouble && v.whole == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return !v.broken, nil
}

// keepConnections opens the connections that other machines keep to the servers.
func (d *deployment) keepConnections() (kept []net.Conn, err error) {
	for _, s := range d.servers {
		for range keptConnections {
			if s.hasEnded() {
				break
			}
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

// forgetRuns lets busiest count anew.
func (s *server) forgetRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runs)
}
