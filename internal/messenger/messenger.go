// Package messenger carries messages between routers over net/rpc, and keeps
// the roster of routers that are reachable. Every call has a deadline; a
// connection that misses one is closed, since it may have gone silent.
package messenger

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindUnreachable Kind = "peer unreachable"
	KindTimeout     Kind = "no answer of the peer"
	KindRefused     Kind = "refused by the peer"
	KindCanceled    Kind = "canceled"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// newsTimeout bounds a call for news; a peer that misses it is not heard.
	newsTimeout = 500 * time.Millisecond
	// redialWait is how long a peer that could not be reached is left alone.
	redialWait = 250 * time.Millisecond
	// maxWaiting bounds what waits to be told to an unreachable peer.
	maxWaiting = 4096
)

// Handlers answer the peers' calls. All fields must be set.
type Handlers struct {
	// News takes a peer's news in and returns the own.
	News func(*News) News
	// Ask blocks until the ask is decided.
	Ask func(*AskArgs) AskReply
	// Settle takes outcomes in. It says whether what the peer holds was given up
	// meanwhile, so that the peer has to tell it again.
	Settle func(*Settlement) (forgotten bool)
	// Fetch returns the configuration if it is newer than a version.
	Fetch func(after uint64) FetchReply
	// Servers returns the backend servers' entries that changed after a version.
	Servers func(after uint64) ServersReply
}

// Messenger holds the links to peers. Dial and Handlers must be set.
type Messenger struct {
	Dial     linker.DialFunc
	Handlers Handlers
	// Lost is told of outcomes that could not be sent; nil drops it.
	Lost func(address string, outcomes int, err error)
	// Forgotten is told that a peer gave up what this router holds there; nil drops it.
	Forgotten func(address string)

	mu    sync.Mutex
	links map[string]*link
	conns map[net.Conn]struct{}
}

// link is the connection to one address, opened when it is needed.
type link struct {
	address string

	mu       sync.Mutex
	client   *rpc.Client
	failedAt time.Time

	// tellMu guards what is told with the next message. It is not held while a
	// connection is opened, as requests wait for it.
	tellMu  sync.Mutex
	waiting Settlement
	telling bool
}

func (m *Messenger) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links == nil {
		m.links = map[string]*link{}
	}
	l := m.links[address]
	if l == nil {
		l = &link{address: address}
		m.links[address] = l
	}
	return l
}

// Forget closes the link to an address.
func (m *Messenger) Forget(address string) {
	m.mu.Lock()
	l := m.links[address]
	delete(m.links, address)
	m.mu.Unlock()
	if l != nil {
		l.drop(nil)
	}
}

// connect returns the link's client, opening a connection if there is none.
func (m *Messenger) connect(l *link) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if time.Since(l.failedAt) < redialWait {
		return nil, failer.New("connect "+l.address, KindUnreachable, "it failed just now")
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := m.Dial(ctx, "tcp", l.address)
	if err != nil {
		l.failedAt = time.Now()
		return nil, failer.Wrap("connect "+l.address, KindUnreachable, err)
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

// drop closes the link's client if it is still the given one; nil closes any.
func (l *link) drop(c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || c != nil && l.client != c {
		return
	}
	l.client.Close()
	l.client = nil
}

// call makes one call that ends with the context.
func (m *Messenger) call(ctx context.Context, address, method string, args, reply any) error {
	l := m.link(address)
	c, err := m.connect(l)
	if err != nil {
		return err
	}
	call := c.Go("Router."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var refused rpc.ServerError
		switch {
		case call.Error == nil:
			return nil
		case errors.As(call.Error, &refused):
			return failer.Wrap("call "+method, KindRefused, call.Error)
		}
		l.drop(c)
		return failer.Wrap("call "+method, KindUnreachable, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return failer.Wrap("call "+method, KindCanceled, ctx.Err())
		}
		return failer.Wrap("call "+method, KindTimeout, ctx.Err())
	}
}

// prompt makes a call that any sound peer answers at once. Without an answer
// the connection is closed, with all that waits on it: it has gone silent.
func (m *Messenger) prompt(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	err := m.call(ctx, address, method, args, reply)
	if failer.KindOf[Kind](err) == KindTimeout {
		m.link(address).drop(nil)
	}
	return err
}

// News exchanges news with the peer at an address.
func (m *Messenger) News(ctx context.Context, address string, n *News) (*News, error) {
	var reply News
	if err := m.prompt(ctx, address, "News", n, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Ask asks the owner at an address. The context bounds the wait.
func (m *Messenger) Ask(ctx context.Context, address string, a *AskArgs) (AskReply, error) {
	var reply AskReply
	err := m.call(ctx, address, "Ask", a, &reply)
	return reply, err
}

// Fetch asks a peer for a newer configuration.
func (m *Messenger) Fetch(ctx context.Context, address string, after uint64) (*FetchReply, error) {
	var reply FetchReply
	if err := m.prompt(ctx, address, "Fetch", &FetchArgs{After: after}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Servers asks a peer for the backend servers' entries that changed after a
// version of the store.
func (m *Messenger) Servers(ctx context.Context, address string, after uint64) (*ServersReply, error) {
	var reply ServersReply
	if err := m.prompt(ctx, address, "Servers", &ServersArgs{After: after}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Settle tells the owner at an address what became of requests. It does not
// wait; what accumulates during a call goes out together in the next.
func (m *Messenger) Settle(address string, s Settlement) {
	l := m.link(address)
	l.tellMu.Lock()
	defer l.tellMu.Unlock()
	if l.waiting.size() < maxWaiting {
		l.waiting.From = s.From
		l.waiting.Held = append(l.waiting.Held, s.Held...)
		l.waiting.Outcomes = append(l.waiting.Outcomes, s.Outcomes...)
		l.waiting.Canceled = append(l.waiting.Canceled, s.Canceled...)
	}
	if !l.telling {
		l.telling = true
		go m.tell(l)
	}
}

// tell sends what waits until nothing does. What could not be sent is dropped:
// the owner gives up holds by their deadline, and a new owner starts afresh.
func (m *Messenger) tell(l *link) {
	for {
		l.tellMu.Lock()
		s := l.waiting
		l.waiting = Settlement{}
		if s.size() == 0 {
			l.telling = false
			l.tellMu.Unlock()
			return
		}
		l.tellMu.Unlock()
		var reply SettleReply
		err := m.prompt(context.Background(), l.address, "Settle", &s, &reply)
		switch {
		case err != nil && m.Lost != nil:
			m.Lost(l.address, s.size(), err)
		case err == nil && reply.Forgotten && m.Forgotten != nil:
			m.Forgotten(l.address)
		}
	}
}

// Serve answers the peers that connect to the listener until it is closed.
func (m *Messenger) Serve(ln net.Listener) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Router", &service{h: m.Handlers}); err != nil {
		return failer.Wrap("serve", KindRefused, err)
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		m.mu.Lock()
		if m.conns == nil {
			m.conns = map[net.Conn]struct{}{}
		}
		m.conns[conn] = struct{}{}
		m.mu.Unlock()
		go func() {
			s.ServeConn(conn)
			m.mu.Lock()
			delete(m.conns, conn)
			m.mu.Unlock()
		}()
	}
}

// Close closes all connections.
func (m *Messenger) Close() {
	m.mu.Lock()
	links, conns := m.links, m.conns
	m.links, m.conns = nil, nil
	m.mu.Unlock()
	for _, l := range links {
		l.drop(nil)
	}
	for c := range conns {
		c.Close()
	}
}

// service has the methods that net/rpc calls.
type service struct{ h Handlers }

// News exchanges news.
func (s *service) News(in *News, out *News) error {
	*out = s.h.News(in)
	return nil
}

// Ask decides an ask.
func (s *service) Ask(in *AskArgs, out *AskReply) error {
	*out = s.h.Ask(in)
	return nil
}

// Settle takes outcomes in.
func (s *service) Settle(in *Settlement, out *SettleReply) error {
	out.Forgotten = s.h.Settle(in)
	return nil
}

// Fetch returns the configuration.
func (s *service) Fetch(in *FetchArgs, out *FetchReply) error {
	*out = s.h.Fetch(in.After)
	return nil
}

// Servers returns the backend servers' entries.
func (s *service) Servers(in *ServersArgs, out *ServersReply) error {
	*out = s.h.Servers(in.After)
	return nil
}
