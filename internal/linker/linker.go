// Package linker opens and wraps network connections. It sets TCP timeouts, adds TLS
// and counts bytes. For experiments it emulates delay, loss and partitions of links,
// and blackholes established connections while new ones work.
package linker

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ByteCounter counts the bytes of a set of connections.
type ByteCounter struct {
	In  atomic.Int64
	Out atomic.Int64
}

// Total returns the bytes in both directions.
func (c *ByteCounter) Total() int64 { return c.In.Load() + c.Out.Load() }

type countedConn struct {
	net.Conn
	counter *ByteCounter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Out.Add(int64(n))
	return n, err
}

// CountConn wraps a connection to count its bytes.
func CountConn(conn net.Conn, counter *ByteCounter) net.Conn {
	return countedConn{Conn: conn, counter: counter}
}

type countedListener struct {
	net.Listener
	counter *ByteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(conn, l.counter), nil
}

// CountListener counts the bytes of all connections that a listener accepts.
func CountListener(l net.Listener, counter *ByteCounter) net.Listener {
	return countedListener{Listener: l, counter: counter}
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTLS adds TLS to a dial function; a nil configuration adds none.
func WithTLS(dial DialFunc, config *tls.Config) DialFunc {
	if config == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		clone := config.Clone()
		if clone.ServerName == "" {
			clone.ServerName, _, _ = net.SplitHostPort(address)
		}
		tlsConn := tls.Client(conn, clone)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		return tlsConn, nil
	}
}

// stallPollInterval is the polling interval of a stalled connection.
const stallPollInterval = 5 * time.Millisecond

// retransmitDelay is the added delay of a lost packet, which TCP retransmits.
const retransmitDelay = 200 * time.Millisecond

// maxQueuedChunks bounds the chunks in flight in one direction of a connection.
const maxQueuedChunks = 1024

// Endpoint is a process that links connect.
type Endpoint struct {
	Name             string
	AvailabilityZone string
}

// Link has the properties of the network path between two zones.
type Link struct {
	Delay time.Duration
	// Jitter is the exclusive maximum of the random delay that is added to Delay.
	Jitter time.Duration
	// Loss is the probability that a chunk is delayed by a retransmission.
	Loss float64
}

// Network emulates the links between endpoints of one process, for experiments. The
// zero value adds no delay, loss or partitions.
type Network struct {
	// LinkBetween returns the link between two zones; nil adds no delay or loss.
	LinkBetween func(zoneA, zoneB string) Link

	mu          sync.Mutex
	endpoints   map[string]Endpoint
	partitioned map[[2]string]bool
	conns       map[*linkConn]struct{}
}

// Register sets the endpoint that listens on an address. Connections to addresses
// that are not registered are not emulated.
func (n *Network) Register(address string, e Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endpoints == nil {
		n.endpoints = map[string]Endpoint{}
	}
	n.endpoints[address] = e
}

func endpointPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// SetPartitioned stalls or resumes all traffic between two endpoints, in both
// directions. New connections between them wait until the partition ends.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned == nil {
		n.partitioned = map[[2]string]bool{}
	}
	n.partitioned[endpointPair(a, b)] = partitioned
}

func (n *Network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[endpointPair(a, b)]
}

// BlackholeConnections permanently stalls every established connection to an endpoint,
// in both directions and without closing it.
func (n *Network) BlackholeConnections(endpoint string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.to == endpoint {
			c.blackholed.Store(true)
		}
	}
}

// Dialer returns the dial function of an endpoint, with emulated links.
func (n *Network) Dialer(from Endpoint) DialFunc {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to, known := n.endpoints[address]
		n.mu.Unlock()
		if !known {
			return d.DialContext(ctx, network, address)
		}
		link := Link{}
		if n.LinkBetween != nil {
			link = n.LinkBetween(from.AvailabilityZone, to.AvailabilityZone)
		}
		if err := n.waitHandshake(ctx, from, to, link); err != nil {
			return nil, err
		}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.proxyConn(conn, from.Name, to.Name, link), nil
	}
}

// waitHandshake waits as long as a TCP handshake takes: one round trip, and until the
// end of a partition.
func (n *Network) waitHandshake(ctx context.Context, from, to Endpoint, link Link) error {
	if err := sleep(ctx, 2*link.Delay); err != nil {
		return err
	}
	for n.isPartitioned(from.Name, to.Name) {
		if err := sleep(ctx, stallPollInterval); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkConn forwards data between a TCP connection and the pipe whose other end the
// caller uses.
type linkConn struct {
	network    *Network
	from, to   string
	link       Link
	remote     net.Conn
	local      net.Conn
	blackholed atomic.Bool
	closed     chan struct{}
	once       sync.Once
}

type chunk struct {
	due  time.Time
	data []byte
}

func (n *Network) proxyConn(conn net.Conn, from, to string, link Link) net.Conn {
	callerEnd, proxyEnd := net.Pipe()
	c := &linkConn{network: n, from: from, to: to, link: link, remote: conn, local: proxyEnd, closed: make(chan struct{})}
	n.mu.Lock()
	if n.conns == nil {
		n.conns = map[*linkConn]struct{}{}
	}
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	go c.forward(c.local, c.remote)
	go c.forward(c.remote, c.local)
	return callerEnd
}

// forward carries one direction. A reader sets the delivery time of each chunk, and a
// writer delivers it once that has passed and the link works.
func (c *linkConn) forward(src, dst net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{due: time.Now().Add(c.delay()), data: buf[:n]}:
				case <-c.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range chunks {
		if !c.waitDeliverable(next.due) {
			break
		}
		if _, err := dst.Write(next.data); err != nil {
			break
		}
	}
	c.close()
}

func (c *linkConn) delay() time.Duration {
	d := c.link.Delay
	if c.link.Jitter > 0 {
		d += rand.N(c.link.Jitter)
	}
	if c.link.Loss > 0 && rand.Float64() < c.link.Loss {
		d += retransmitDelay
	}
	return d
}

// waitDeliverable returns true once a chunk may be delivered, or false if the
// connection is closed first.
func (c *linkConn) waitDeliverable(due time.Time) bool {
	wait := time.Until(due)
	for {
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-c.closed:
				t.Stop()
				return false
			}
		}
		if !c.blackholed.Load() && !c.network.isPartitioned(c.from, c.to) {
			return true
		}
		wait = stallPollInterval
	}
}

func (c *linkConn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.remote.Close()
		c.local.Close()
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
}
