package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultProxy is a loopback proxy before one address, at which faults are injected.
type faultProxy struct {
	listener net.Listener
	target   string

	// delayNanos holds nanoseconds that each piece waits; refuse closes new connections.
	delayNanos atomic.Int64
	refuseNew  atomic.Bool
	// stall holds pieces back in one direction: those to the target and those from it.
	stallToTarget   atomic.Bool
	stallFromTarget atomic.Bool

	mu    sync.Mutex
	conns map[*proxiedConn]struct{}
}

// proxiedConn is one connection through a link.
type proxiedConn struct {
	client, target net.Conn
	// blackholed drops all that comes, for good, without a reset.
	blackholed atomic.Bool
}

func (p *proxiedConn) close() {
	p.client.Close()
	p.target.Close()
}

func newFaultProxy(target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &faultProxy{listener: listener, target: target, conns: map[*proxiedConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuseNew.Load() {
			resetConn(client)
			continue
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			resetConn(client)
			continue
		}
		conn := &proxiedConn{client: client, target: target}
		p.mu.Lock()
		p.conns[conn] = struct{}{}
		p.mu.Unlock()
		go p.forward(conn, target, client, &p.stallToTarget)
		go p.forward(conn, client, target, &p.stallFromTarget)
	}
}

// stallPollInterval is how often a stalled direction looks whether it may go on.
const stallPollInterval = 5 * time.Millisecond

// forward passes one direction on. An end is passed on as an end, a reset as a reset.
func (p *faultProxy) forward(conn *proxiedConn, to, from net.Conn, stall *atomic.Bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if conn.blackholed.Load() {
			// What comes is lost, and nobody is told.
			discardInput(from, err)
			return
		}
		if delay := time.Duration(p.delayNanos.Load()); delay > 0 && n > 0 {
			time.Sleep(delay)
		}
		for stall.Load() {
			time.Sleep(stallPollInterval)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				// The other side may have reset it already.
				_ = tcp.CloseWrite()
			}
			return
		default:
			resetConn(to)
			return
		}
	}
}

// discardInput drops what comes until the connection ends.
func discardInput(conn net.Conn, readErr error) {
	if readErr == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// One that has ended cannot be set any more.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// forEachConn calls f for the open connections.
func (p *faultProxy) forEachConn(f func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		f(conn)
	}
}

// resetConns resets all open connections; silence makes them silent for good.
func (p *faultProxy) resetConns() {
	p.forEachConn(func(conn *proxiedConn) {
		resetConn(conn.client)
		resetConn(conn.target)
	})
}

func (p *faultProxy) blackholeConns() {
	p.forEachConn(func(conn *proxiedConn) { conn.blackholed.Store(true) })
}

// clearFaults ends all faults but the silence of connections, which is for good.
func (p *faultProxy) clearFaults() {
	p.delayNanos.Store(0)
	p.refuseNew.Store(false)
	p.stallToTarget.Store(false)
	p.stallFromTarget.Store(false)
}

func (p *faultProxy) close() {
	p.listener.Close()
	p.forEachConn(func(p *proxiedConn) { p.close() })
}
