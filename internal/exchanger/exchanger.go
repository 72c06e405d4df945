// Package exchanger sends messages between routers over net/rpc. Each pair of routers has one
// connection in each direction, with one call at a time, so that everything that accumulates during
// a call is sent in the next. Every call has a timeout, after which its connection is closed.
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

// Kinds of errors.
const (
	KindTimeout  Kind = "timeout"
	KindProtocol Kind = "protocol"
	KindDial     Kind = "cannot connect"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// CallTimeout bounds the time of one call. If a peer does not reply in time, its connection
	// is closed.
	CallTimeout = 800 * time.Millisecond
	// dialTimeout bounds the time to connect.
	dialTimeout = 300 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay before reconnecting, which doubles with
	// each failure.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// helloTimeout bounds the time until an accepted connection sends its hello.
	helloTimeout = 5 * time.Second
)

// Handlers are the functions that the Exchanger calls. All fields must be set.
type Handlers struct {
	// HandleMessage handles a peer's message and returns the reply.
	HandleMessage func(from accountant.Source, m *encoder.Message) encoder.Message
	// TakeMessage returns the next message for a peer and clears it.
	TakeMessage func(peer string) encoder.Message
	// HandleReply handles a peer's reply to a message.
	HandleReply func(from accountant.Source, m *encoder.Message)
	// SendFailed handles a message that may not have been delivered.
	SendFailed func(peer string, m *encoder.Message)
	// PeerUp is called when a connection to a peer was established.
	PeerUp func(peer string)
	// PeerDown is called when a peer became unreachable or was restarted.
	PeerDown func(peer string)
	// ConfigVersion returns the installed configuration version, which is sent to observers.
	ConfigVersion func() uint64
	// HintConfigVersion is called if an observer knows a newer configuration version.
	HintConfigVersion func(version uint64)
}

// Exchanger maintains the links to all peers. Name, Incarnation, Dial and Handlers must be set
// before use.
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

// link is the outgoing connection to one peer.
type link struct {
	e       *Exchanger
	peer    string
	address string
	// wake makes run send a message.
	wake   chan struct{}
	cancel context.CancelFunc

	client *rpc.Client
	source accountant.Source
	isDown bool
	// incarnation is the peer's last known incarnation. It is atomic because it is read outside
	// of the link's goroutine.
	incarnation atomic.Uint64
}

// SetPeers opens links to new peers and closes the links to removed peers.
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

// WakePeer makes the peer's link send a message.
func (e *Exchanger) WakePeer(peer string) {
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

// PeerIncarnation returns the last known incarnation of a peer, or 0 if it was never reached.
func (e *Exchanger) PeerIncarnation(peer string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.links[peer]; l != nil {
		return l.incarnation.Load()
	}
	return 0
}

// Close closes all links and connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	e.closed = true
	for _, l := range e.links {
		l.cancel()
	}
	for conn := range e.conns {
		conn.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// run connects to the peer and sends messages until the context is canceled.
func (l *link) run(ctx context.Context) {
	defer l.disconnect()
	redialDelay := minRedialDelay
	for {
		if l.client == nil && !l.connect(ctx) {
			l.markDown()
			if !pauser.Sleep(ctx, redialDelay) {
				return
			}
			redialDelay = min(2*redialDelay, maxRedialDelay)
			continue
		}
		redialDelay = minRedialDelay
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
		l.e.Handlers.PeerDown(l.peer)
	}
}

func (l *link) disconnect() {
	if l.client != nil {
		l.client.Close()
		l.client = nil
	}
}

// connect opens the connection and exchanges hellos. It reports whether it succeeded.
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
		// The peer was restarted and lost its state.
		l.e.Handlers.PeerDown(l.peer)
	}
	l.client = client
	l.source = accountant.Source{Router: hello.Name, Incarnation: hello.Incarnation}
	l.incarnation.Store(hello.Incarnation)
	l.isDown = false
	l.e.Handlers.PeerUp(l.peer)
	return true
}

// exchange sends one message and handles the reply.
func (l *link) exchange() {
	m := l.e.Handlers.TakeMessage(l.peer)
	var reply encoder.Message
	if err := Call(l.client, "Peer.Exchange", &m, &reply); err != nil {
		l.disconnect()
		l.e.Handlers.SendFailed(l.peer, &m)
		return
	}
	l.e.Handlers.HandleReply(l.source, &reply)
}

// deadlineConn sets a deadline for each write. Otherwise a large message to a peer that has stopped
// reading would block forever.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(CallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Dial opens a connection to a router's peer listener and exchanges hellos. A hello without a name
// opens the connection as an observer, which is not a member of the fleet and only exchanges
// configuration versions.
func Dial(
	ctx context.Context, dial linker.DialFunc, address string, ownHello encoder.Hello,
) (*rpc.Client, encoder.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, encoder.Hello{}, failer.Wrap("dial "+address, KindDial, err)
	}
	client := rpc.NewClientWithCodec(encoder.NewClientCodec(deadlineConn{conn}))
	ownHello.Codec = encoder.CodecVersion
	var peerHello encoder.Hello
	if err := Call(client, "Peer.Hello", &ownHello, &peerHello); err != nil {
		client.Close()
		return nil, encoder.Hello{}, err
	}
	return client, peerHello, nil
}

// Call makes one call with a timeout of CallTimeout, since net/rpc has no timeouts. After an error
// the client must be closed.
func Call(client *rpc.Client, method string, in, out any) error {
	call := client.Go(method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(CallTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			return failer.Wrap(method, KindProtocol, call.Error)
		}
		return nil
	case <-timer.C:
		client.Close()
		// Wait for the call to end, since it may still write to out.
		<-call.Done
		return failer.New(method, KindTimeout, "no reply within "+CallTimeout.String())
	}
}

// Serve accepts connections of peers until the listener is closed.
func (e *Exchanger) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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
	server := rpc.NewServer()
	peer := &Peer{e: e, conn: conn}
	// RegisterName cannot fail, since Peer has methods of the required form.
	_ = server.RegisterName("Peer", peer)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	server.ServeCodec(encoder.NewServerCodec(deadlineConn{conn}))
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
}

// Peer is the receiving side of one connection. Its exported methods are the RPC service "Peer".
type Peer struct {
	e    *Exchanger
	conn net.Conn

	mu            sync.Mutex
	source        accountant.Source
	helloReceived bool
}

// Hello handles the hello of the connecting router or observer.
func (p *Peer) Hello(in *encoder.Hello, out *encoder.Hello) error {
	if in.Codec != encoder.CodecVersion {
		return failer.New("hello", KindProtocol, "another codec version")
	}
	p.mu.Lock()
	p.source = accountant.Source{Router: in.Name, Incarnation: in.Incarnation}
	p.helloReceived = true
	p.mu.Unlock()
	p.conn.SetReadDeadline(time.Time{})
	*out = encoder.Hello{Name: p.e.Name, Incarnation: p.e.Incarnation, Codec: encoder.CodecVersion}
	return nil
}

// Exchange handles one message. With an observer it exchanges only configuration versions.
func (p *Peer) Exchange(in *encoder.Message, out *encoder.Message) error {
	p.mu.Lock()
	source, helloReceived := p.source, p.helloReceived
	p.mu.Unlock()
	if !helloReceived {
		return failer.New("exchange", KindProtocol, "no hello")
	}
	if source.Router == "" {
		out.ConfigVersion = p.e.Handlers.ConfigVersion()
		if in.ConfigVersion > out.ConfigVersion {
			p.e.Handlers.HintConfigVersion(in.ConfigVersion)
		}
		return nil
	}
	*out = p.e.Handlers.HandleMessage(source, in)
	return nil
}
