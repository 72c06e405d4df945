package soaker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultProxy is a TCP proxy on loopback that forwards to one address and injects faults.
type faultProxy struct {
	target string

	// delayNanos is the delay of each forwarded chunk in nanoseconds.
	delayNanos atomic.Int64
	// refuseNew makes the proxy reset new connections.
	refuseNew atomic.Bool
	// closeNew makes the proxy close new connections without a byte.
	closeNew atomic.Bool
	// stallToTarget and stallFromTarget hold data back in one direction.
	stallToTarget   atomic.Bool
	stallFromTarget atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[*proxiedConn]struct{}
}

// proxiedConn is one connection through a faultProxy.
type proxiedConn struct {
	client, target net.Conn
	// blackholed makes the proxy drop all data from now on without closing the connection.
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
	go p.accept(listener)
	return p, nil
}

func (p *faultProxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// crash resets all connections and refuses new ones for a while, as a process that has ended.
func (p *faultProxy) crash(downtime time.Duration) { p.end(downtime, p.resetConns, 0) }

// exit closes all connections and then the listening socket, as the kernel does for a process that has ended, and refuses
// new ones for a while. Such a process reads and writes nothing after its first connection is closed.
func (p *faultProxy) exit(downtime time.Duration) {
	p.end(downtime, func() {
		p.forEachConn(func(conn *proxiedConn) { conn.blackholed.Store(true) })
		p.forEachConn((*proxiedConn).close)
	}, listenerDelay)
}

// listenerDelay is how long the listening socket of a process outlives its connections.
const listenerDelay = 20 * time.Millisecond

// end closes the connections and, after a delay, the listening socket.
func (p *faultProxy) end(downtime time.Duration, closeConns func(), delay time.Duration) {
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	if delay > 0 {
		p.closeNew.Store(true)
		closeConns()
		time.Sleep(delay)
		listener.Close()
		p.closeNew.Store(false)
	} else {
		listener.Close()
		closeConns()
	}
	time.AfterFunc(downtime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		restarted, err := net.Listen("tcp", listener.Addr().String())
		if err != nil || p.closed {
			return
		}
		p.listener = restarted
		go p.accept(restarted)
	})
}

func (p *faultProxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.closeNew.Load() {
			client.Close()
			continue
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

// stallPollInterval is how often a stalled direction checks whether the stall is over.
const stallPollInterval = 5 * time.Millisecond

// forward copies data in one direction. It propagates EOF as a half-close and errors as a reset.
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
				// This fails if the peer has already reset the connection.
				_ = tcp.CloseWrite()
			}
			return
		default:
			resetConn(to)
			return
		}
	}
}

// discardInput discards data until the connection ends. The other side is not closed, so its peer
// sees a silent connection.
func discardInput(conn net.Conn, readErr error) {
	if readErr == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// This fails if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// forEachConn calls f for each open connection.
func (p *faultProxy) forEachConn(f func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		f(conn)
	}
}

// resetConns resets all open connections.
func (p *faultProxy) resetConns() {
	p.forEachConn(func(conn *proxiedConn) {
		resetConn(conn.client)
		resetConn(conn.target)
	})
}

// blackholeConns drops all further data of all open connections without closing them. clearFaults
// does not undo this.
func (p *faultProxy) blackholeConns() {
	p.forEachConn(func(conn *proxiedConn) { conn.blackholed.Store(true) })
}

// clearFaults ends all faults except those of blackholed connections.
func (p *faultProxy) clearFaults() {
	p.delayNanos.Store(0)
	p.refuseNew.Store(false)
	p.stallToTarget.Store(false)
	p.stallFromTarget.Store(false)
}

func (p *faultProxy) close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	p.mu.Unlock()
	p.forEachConn(func(conn *proxiedConn) { conn.close() })
}
