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
	// callTimeout bounds a call for news; a peer that misses it is not heard.
	callTimeout = 500 * time.Millisecond
	// redialDelay is how long a peer that could not be reached is left alone.
	redialDelay = 250 * time.Millisecond
	// maxPending bounds what waits to be told to an unreachable peer.
	maxPending = 4096
)

// Handlers answer the peers' calls. All fields must be set.
type Handlers struct {
	// Gossip takes a peer's news in and returns the own.
	Gossip func(*Gossip) Gossip
	// Admit blocks until the ask is decided.
	Admit func(*AdmitArgs) AdmitReply
	// UpdateRequests takes outcomes in. It says whether what the peer holds was given up
	// meanwhile, so that the peer has to tell it again.
	UpdateRequests func(*RequestUpdates) (released bool)
	// FetchConfig returns the configuration if it is newer than a version.
	FetchConfig func(after uint64) FetchConfigReply
	// FetchServers returns the backend servers' entries that changed after a version.
	FetchServers func(after uint64) FetchServersReply
}

// Messenger holds the links to peers. Dial and Handlers must be set.
type Messenger struct {
	Dial     linker.DialFunc
	Handlers Handlers
	// OnUpdatesLost is told of outcomes that could not be sent; nil drops it.
	OnUpdatesLost func(address string, outcomes int, err error)
	// OnSlotsReleased is told that a peer gave up what this router holds there; nil drops it.
	OnSlotsReleased func(address string)

	mu    sync.Mutex
	links map[string]*link
	conns map[net.Conn]struct{}
}

// link is the connection to one address, opened when it is needed.
type link struct {
	address string

	mu           sync.Mutex
	client       *rpc.Client
	dialFailedAt time.Time

	// pendingMu guards what is told with the next message. It is not held while a
	// connection is opened, as requests wait for it.
	pendingMu sync.Mutex
	pending   RequestUpdates
	sending   bool
}

func (m *Messenger) linkTo(address string) *link {
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

// Disconnect closes the link to an address.
func (m *Messenger) Disconnect(address string) {
	m.mu.Lock()
	l := m.links[address]
	delete(m.links, address)
	m.mu.Unlock()
	if l != nil {
		l.closeClient(nil)
	}
}

// connect returns the link's client, opening a connection if there is none.
func (m *Messenger) connect(l *link) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if time.Since(l.dialFailedAt) < redialDelay {
		return nil, failer.New("connect "+l.address, KindUnreachable, "it failed just now")
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := m.Dial(ctx, "tcp", l.address)
	if err != nil {
		l.dialFailedAt = time.Now()
		return nil, failer.Wrap("connect "+l.address, KindUnreachable, err)
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

// closeClient closes the link's client if it is still the given one; nil closes any.
func (l *link) closeClient(c *rpc.Client) {
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
	l := m.linkTo(address)
	c, err := m.connect(l)
	if err != nil {
		return err
	}
	call := c.Go("Router."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var serverErr rpc.ServerError
		switch {
		case call.Error == nil:
			return nil
		case errors.As(call.Error, &serverErr):
			return failer.Wrap("call "+method, KindRefused, call.Error)
		}
		l.closeClient(c)
		return failer.Wrap("call "+method, KindUnreachable, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return failer.Wrap("call "+method, KindCanceled, ctx.Err())
		}
		return failer.Wrap("call "+method, KindTimeout, ctx.Err())
	}
}

// callWithTimeout makes a call that any sound peer answers at once. Without an answer
// the connection is closed, with all that waits on it: it has gone silent.
func (m *Messenger) callWithTimeout(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.call(ctx, address, method, args, reply)
	if failer.KindOf[Kind](err) == KindTimeout {
		m.linkTo(address).closeClient(nil)
	}
	return err
}

// ExchangeGossip exchanges news with the peer at an address.
func (m *Messenger) ExchangeGossip(ctx context.Context, address string, gossip *Gossip) (*Gossip, error) {
	var reply Gossip
	if err := m.callWithTimeout(ctx, address, "News", gossip, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Admit asks the owner at an address. The context bounds the wait.
func (m *Messenger) Admit(ctx context.Context, address string, args *AdmitArgs) (AdmitReply, error) {
	var reply AdmitReply
	err := m.call(ctx, address, "Ask", args, &reply)
	return reply, err
}

// FetchConfig asks a peer for a newer configuration.
func (m *Messenger) FetchConfig(ctx context.Context, address string, after uint64) (*FetchConfigReply, error) {
	var reply FetchConfigReply
	if err := m.callWithTimeout(ctx, address, "Fetch", &FetchConfigArgs{After: after}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// FetchServers asks a peer for the backend servers' entries that changed after a
// version of the store.
func (m *Messenger) FetchServers(ctx context.Context, address string, after uint64) (*FetchServersReply, error) {
	var reply FetchServersReply
	if err := m.callWithTimeout(ctx, address, "Servers", &FetchServersArgs{After: after}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// UpdateRequests tells the owner at an address what became of requests. It does not
// wait; what accumulates during a call goes out together in the next.
func (m *Messenger) UpdateRequests(address string, updates RequestUpdates) {
	l := m.linkTo(address)
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	if l.pending.size() < maxPending {
		l.pending.From = updates.From
		l.pending.Held = append(l.pending.Held, updates.Held...)
		l.pending.Outcomes = append(l.pending.Outcomes, updates.Outcomes...)
		l.pending.Canceled = append(l.pending.Canceled, updates.Canceled...)
	}
	if !l.sending {
		l.sending = true
		go m.sendPending(l)
	}
}

// sendPending sends what waits until nothing does. What could not be sent is dropped:
// the owner gives up holds by their deadline, and a new owner starts afresh.
func (m *Messenger) sendPending(l *link) {
	for {
		l.pendingMu.Lock()
		updates := l.pending
		l.pending = RequestUpdates{}
		if updates.size() == 0 {
			l.sending = false
			l.pendingMu.Unlock()
			return
		}
		l.pendingMu.Unlock()
		var reply RequestUpdatesReply
		err := m.callWithTimeout(context.Background(), l.address, "Settle", &updates, &reply)
		switch {
		case err != nil && m.OnUpdatesLost != nil:
			m.OnUpdatesLost(l.address, updates.size(), err)
		case err == nil && reply.Forgotten && m.OnSlotsReleased != nil:
			m.OnSlotsReleased(l.address)
		}
	}
}

// Serve answers the peers that connect to the listener until it is closed.
func (m *Messenger) Serve(ln net.Listener) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Router", &service{handlers: m.Handlers}); err != nil {
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
		l.closeClient(nil)
	}
	for c := range conns {
		c.Close()
	}
}

// service has the methods that net/rpc calls.
type service struct{ handlers Handlers }

// News exchanges news.
func (s *service) News(in *Gossip, out *Gossip) error {
	*out = s.handlers.Gossip(in)
	return nil
}

// Ask decides an ask.
func (s *service) Ask(in *AdmitArgs, out *AdmitReply) error {
	*out = s.handlers.Admit(in)
	return nil
}

// Settle takes outcomes in.
func (s *service) Settle(in *RequestUpdates, out *RequestUpdatesReply) error {
	out.Forgotten = s.handlers.UpdateRequests(in)
	return nil
}

// Fetch returns the configuration.
func (s *service) Fetch(in *FetchConfigArgs, out *FetchConfigReply) error {
	*out = s.handlers.FetchConfig(in.After)
	return nil
}

// Servers returns the backend servers' entries.
func (s *service) Servers(in *FetchServersArgs, out *FetchServersReply) error {
	*out = s.handlers.FetchServers(in.After)
	return nil
}
