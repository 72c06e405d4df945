// Package exchanger carries messages between routers over net/rpc: one
// connection for each direction of a pair, one call at a time on each, so that
// what accumulates during a call goes out together in the next. Every call has
// a deadline, and a connection that misses it is closed.
package exchanger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/pauser"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindTimeout  Kind = "timeout"
	KindProtocol Kind = "protocol"
	KindDial     Kind = "cannot connect"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// CallTimeout bounds a call; a peer that misses it is taken for cut off.
	CallTimeout = 800 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// minRedial and maxRedial bound the wait before a failed peer is tried again.
	minRedial = 100 * time.Millisecond
	maxRedial = time.Second
	// helloTimeout is how long an accepted connection may stay without a hello.
	helloTimeout = 5 * time.Second
)

// Handlers are what the exchanger calls. All fields must be set.
type Handlers struct {
	// Receive handles a peer's message and returns the reply.
	Receive func(from accountant.Source, m *encoder.Message) encoder.Message
	// Drain returns what there is to say to a peer.
	Drain func(peer string) encoder.Message
	// Absorb handles the reply to an own message.
	Absorb func(from accountant.Source, m *encoder.Message)
	// SendFailed takes back a message that may not have arrived.
	SendFailed func(peer string, m *encoder.Message)
	// Up and Down tell of a peer's reachability.
	Up   func(peer string)
	Down func(peer string)
	// Version returns the installed configuration version, for observers.
	Version func() uint64
	// Hint tells that an observer knows of a newer version.
	Hint func(version uint64)
}

// Exchanger holds the links to all peers. Name, Incarnation, Dial and Handlers
// must be set before use.
type Exchanger struct {
	Name        string
	Incarnation uint64
	Dial        linker.DialFunc
	Handlers    Handlers

	mu     sync.Mutex
	links  map[string]*link
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// link is the sending side towards one peer.
type link struct {
	e       *Exchanger
	peer    string
	address string
	wake    chan struct{}
	cancel  context.CancelFunc

	client *rpc.Client
	source accountant.Source
	isDown bool
	// incarnation is the peer's, readable without the link's goroutine.
	incarnation atomic.Uint64
}

// SetPeers opens links to new peers and closes those to peers that are gone.
func (e *Exchanger) SetPeers(addresses map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	if e.links == nil {
		e.links = map[string]*link{}
	}
	for name, l := range e.links {
		if addresses[name] != l.address {
			l.cancel()
			delete(e.links, name)
		}
	}
	for name, address := range addresses {
		if e.links[name] != nil || name == e.Name {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		l := &link{e: e, peer: name, address: address, wake: make(chan struct{}, 1), cancel: cancel}
		e.links[name] = l
		l.wake <- struct{}{}
		e.wg.Go(func() { l.run(ctx) })
	}
}

// Wake makes the peer's link send what there is to say.
func (e *Exchanger) Wake(peer string) {
	e.mu.Lock()
	l := e.links[peer]
	e.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// IncarnationOf returns the incarnation that a peer last had, 0 if it was never
// reached.
func (e *Exchanger) IncarnationOf(peer string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.links[peer]; l != nil {
		return l.incarnation.Load()
	}
	return 0
}

// Close ends all links and connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	e.closed = true
	for _, l := range e.links {
		l.cancel()
	}
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// run sends messages until the peer is gone for good.
func (l *link) run(ctx context.Context) {
	defer l.hangUp()
	redial := minRedial
	for {
		if l.client == nil && !l.connect(ctx) {
			l.markDown()
			if !pauser.Sleep(ctx, redial) {
				return
			}
			redial = min(2*redial, maxRedial)
			continue
		}
		redial = minRedial
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.exchange()
	}
}

func (l *link) markDown() {
	if !l.isDown {
		l.isDown = true
		l.e.Handlers.Down(l.peer)
	}
}

func (l *link) hangUp() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// connect opens the connection and says hello.
func (l *link) connect(ctx context.Context) bool {
	client, hello, err := Dial(ctx, l.e.Dial, l.address, encoder.Hello{Name: l.e.Name, Incarnation: l.e.Incarnation})
	if err != nil {
		return false
	}
	if hello.Name != l.peer {
		client.Close()
		return false
	}
	if l.source.Incarnation != 0 && l.source.Incarnation != hello.Incarnation {
		// Another process answers at the address: what the old one held is gone.
		l.e.Handlers.Down(l.peer)
	}
	l.client = client
	l.source = accountant.Source{Router: hello.Name, Incarnation: hello.Incarnation}
	l.incarnation.Store(hello.Incarnation)
	l.isDown = false
	l.e.Handlers.Up(l.peer)
	return true
}

// exchange sends one message and handles its reply.
func (l *link) exchange() {
	m := l.e.Handlers.Drain(l.peer)
	var reply encoder.Message
	if err := Call(l.client, "Peer.Exchange", &m, &reply); err != nil {
		l.hangUp()
		l.e.Handlers.SendFailed(l.peer, &m)
		return
	}
	l.e.Handlers.Absorb(l.source, &reply)
}

// deadlineConn bounds each write, since a large message to a peer that stopped
// reading would block for good.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(CallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Dial opens a connection to a router's peer listener and exchanges hellos. A
// hello without a name opens it as an observer, which takes no part in the
// fleet and only learns configuration versions.
func Dial(ctx context.Context, dial linker.DialFunc, address string, own encoder.Hello) (*rpc.Client, encoder.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, encoder.Hello{}, failer.Wrap("dial "+address, KindDial, err)
	}
	client := rpc.NewClientWithCodec(encoder.NewClientCodec(deadlineConn{conn}))
	own.Codec = encoder.CodecVersion
	var hello encoder.Hello
	if err := Call(client, "Peer.Hello", &own, &hello); err != nil {
		client.Close()
		return nil, encoder.Hello{}, err
	}
	return client, hello, nil
}

// Call makes one call within CallTimeout, which net/rpc does not bound itself.
// After an error the client must be closed.
func Call(client *rpc.Client, method string, in, out any) error {
	call := client.Go(method, in, out, make(chan *rpc.Call, 1))
	t := time.NewTimer(CallTimeout)
	defer t.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			return failer.Wrap(method, KindProtocol, call.Error)
		}
		return nil
	case <-t.C:
		client.Close()
		// The reply buffer may be written to until the call ends.
		<-call.Done
		return failer.New(method, KindTimeout, "no answer within "+CallTimeout.String())
	}
}

// Serve accepts peers' connections until the listener is closed.
func (e *Exchanger) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			conn.Close()
			return
		}
		if e.conns == nil {
			e.conns = map[net.Conn]struct{}{}
		}
		e.conns[conn] = struct{}{}
		e.wg.Go(func() { e.serveConn(conn) })
		e.mu.Unlock()
	}
}

func (e *Exchanger) serveConn(conn net.Conn) {
	s := rpc.NewServer()
	p := &Peer{e: e, conn: conn}
	// The receiver's methods are known to fit.
	_ = s.RegisterName("Peer", p)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	s.ServeCodec(encoder.NewServerCodec(deadlineConn{conn}))
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
}

// Peer is the receiving side of one connection; its exported methods are the
// peer service.
type Peer struct {
	e    *Exchanger
	conn net.Conn

	mu     sync.Mutex
	source accountant.Source
	known  bool
}

// Hello opens the connection.
func (p *Peer) Hello(in *encoder.Hello, out *encoder.Hello) error {
	if in.Codec != encoder.CodecVersion {
		return failer.New("hello", KindProtocol, "another codec version")
	}
	p.mu.Lock()
	p.source = accountant.Source{Router: in.Name, Incarnation: in.Incarnation}
	p.known = true
	p.mu.Unlock()
	p.conn.SetReadDeadline(time.Time{})
	*out = encoder.Hello{Name: p.e.Name, Incarnation: p.e.Incarnation, Codec: encoder.CodecVersion}
	return nil
}

// Exchange handles one message.
func (p *Peer) Exchange(in *encoder.Message, out *encoder.Message) error {
	p.mu.Lock()
	source, known := p.source, p.known
	p.mu.Unlock()
	if !known {
		return failer.New("exchange", KindProtocol, "no hello")
	}
	if source.Router == "" {
		out.ConfigVersion = p.e.Handlers.Version()
		if in.ConfigVersion > out.ConfigVersion {
			p.e.Handlers.Hint(in.ConfigVersion)
		}
		return nil
	}
	*out = p.e.Handlers.Receive(source, in)
	return nil
}
