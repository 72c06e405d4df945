package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a loopback proxy before one address, at which faults are injected.
type link struct {
	ln     net.Listener
	target string

	// delay holds nanoseconds that each piece waits; refuse closes new connections.
	delay  atomic.Int64
	refuse atomic.Bool
	// stall holds pieces back in one direction: those to the target and those from it.
	stallTo   atomic.Bool
	stallFrom atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one connection through a link.
type pair struct {
	near, far net.Conn
	// silent drops all that comes, for good, without a reset.
	silent atomic.Bool
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, pairs: map[*pair]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.refuse.Load() {
			reset(near)
			continue
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(near)
			continue
		}
		p := &pair{near: near, far: far}
		l.mu.Lock()
		l.pairs[p] = struct{}{}
		l.mu.Unlock()
		go l.copy(p, far, near, &l.stallTo)
		go l.copy(p, near, far, &l.stallFrom)
	}
}

// stallStep is how often a stalled direction looks whether it may go on.
const stallStep = 5 * time.Millisecond

// copy passes one direction on. An end is passed on as an end, a reset as a reset.
func (l *link) copy(p *pair, to, from net.Conn, stall *atomic.Bool) {
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
			// What comes is lost, and nobody is told.
			continueReading(from, err)
			return
		}
		if d := time.Duration(l.delay.Load()); d > 0 && n > 0 {
			time.Sleep(d)
		}
		for stall.Load() {
			time.Sleep(stallStep)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			if c, ok := to.(*net.TCPConn); ok {
				// The other side may have reset it already.
				_ = c.CloseWrite()
			}
			return
		default:
			reset(to)
			return
		}
	}
}

// continueReading drops what comes until the connection ends.
func continueReading(c net.Conn, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// One that has ended cannot be set any more.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// each calls f for the open connections.
func (l *link) each(f func(*pair)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		f(p)
	}
}

// reset resets all open connections; silence makes them silent for good.
func (l *link) reset() {
	l.each(func(p *pair) {
		reset(p.near)
		reset(p.far)
	})
}

func (l *link) silence() { l.each(func(p *pair) { p.silent.Store(true) }) }

// heal ends all faults but the silence of connections, which is for good.
func (l *link) heal() {
	l.delay.Store(0)
	l.refuse.Store(false)
	l.stallTo.Store(false)
	l.stallFrom.Store(false)
}

func (l *link) close() {
	l.ln.Close()
	l.each(func(p *pair) { p.close() })
}
