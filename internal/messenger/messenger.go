// Package messenger carries messages between routers over net/rpc and tracks which
// routers are reachable. If a call that a working peer answers at once times out, its
// connection is closed, since it may have stopped responding without an error. An
// admission call may wait for a slot, so its timeout leaves the connection open.
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
	"papayapaddle/internal/watcher"
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
	// dialTimeout bounds dialing a peer.
	dialTimeout = 400 * time.Millisecond
	// callTimeout bounds all calls except Admit.
	callTimeout = 500 * time.Millisecond
	// redialDelay is the time after a failed dial in which the peer is not dialed again.
	redialDelay = 250 * time.Millisecond
	// acceptRetryDelay is the time until the next attempt to accept a connection after a temporary error, such as a
	// lack of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// maxPending is the number of pending updates for a peer from which new ones are dropped.
	maxPending = 4096
)

// Handlers answer the calls of peers. All fields must be set.
type Handlers struct {
	// Gossip processes a peer's gossip and returns this router's.
	Gossip func(*Gossip) Gossip
	// Admit blocks until the admission request is granted or refused.
	Admit func(*AdmitArgs) AdmitReply
	// UpdateRequests processes updates of requests. It reports whether the peer's slots
	// were released since its last update, so that the peer must report them again.
	UpdateRequests func(*RequestUpdates) (released bool)
	// FetchConfig returns the configuration if it is newer than a version.
	FetchConfig func(after uint64) FetchConfigReply
	// FetchServers returns the backend servers' entries that changed after a position.
	FetchServers func(after watcher.Position) FetchServersReply
}

// Messenger holds the connections to peers. Dial and Handlers must be set.
type Messenger struct {
	Dial     linker.DialFunc
	Handlers Handlers
	// OnUpdatesLost, if set, is called when updates of requests could not be sent.
	OnUpdatesLost func(address string, outcomes int, err error)
	// OnSlotsReleased, if set, is called when a peer reports that it has released the
	// slots that this router held there.
	OnSlotsReleased func(address string)

	mu    sync.Mutex
	links map[string]*link
	conns map[net.Conn]struct{}
}

// link is the connection to one address, opened on demand.
type link struct {
	address string

	mu           sync.Mutex
	client       *rpc.Client
	dialFailedAt time.Time

	// pendingMu guards the updates that the next message carries. It is not held while
	// dialing, since requests block on it.
	pendingMu sync.Mutex
	pending   RequestUpdates
	sending   bool
}

// linkTo returns the link to an address, creating it if necessary.
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

// Disconnect closes the connection to an address and removes its link.
func (m *Messenger) Disconnect(address string) {
	m.mu.Lock()
	l := m.links[address]
	delete(m.links, address)
	m.mu.Unlock()
	if l != nil {
		l.closeClient(nil)
	}
}

// connect returns the link's client, dialing the peer if there is none.
func (m *Messenger) connect(l *link) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if time.Since(l.dialFailedAt) < redialDelay {
		return nil, failer.New("connect "+l.address, KindUnreachable, "a recent dial failed")
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

// closeClient closes the link's client if it is still c, or any client if c is nil.
func (l *link) closeClient(c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || c != nil && l.client != c {
		return
	}
	l.client.Close()
	l.client = nil
}

// call makes one RPC call, bounded by the context.
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

// callWithTimeout makes a call that any working peer answers at once. If it times out,
// the connection is closed, and all calls that are pending on it fail.
func (m *Messenger) callWithTimeout(
	ctx context.Context, address, method string, args, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.call(ctx, address, method, args, reply)
	if failer.KindOf[Kind](err) == KindTimeout {
		m.linkTo(address).closeClient(nil)
	}
	return err
}

// ExchangeGossip sends gossip to the peer at an address and returns the peer's.
func (m *Messenger) ExchangeGossip(
	ctx context.Context, address string, gossip *Gossip,
) (*Gossip, error) {
	var reply Gossip
	if err := m.callWithTimeout(ctx, address, "News", gossip, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Admit requests a slot on a backend server from its owner at an address. The context
// bounds the wait.
func (m *Messenger) Admit(ctx context.Context, address string, args *AdmitArgs) (AdmitReply, error) {
	var reply AdmitReply
	if err := m.call(ctx, address, "Ask", args, &reply); err != nil {
		// A reply that arrives after the context has ended is still decoded into the variable.
		return AdmitReply{}, err
	}
	return reply, nil
}

// FetchConfig fetches a configuration newer than a version from a peer.
func (m *Messenger) FetchConfig(
	ctx context.Context, address string, after uint64,
) (*FetchConfigReply, error) {
	var reply FetchConfigReply
	if err := m.callWithTimeout(ctx, address, "Fetch", &FetchConfigArgs{After: after}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// FetchServers fetches the backend servers' entries that changed after a position
// from a peer.
func (m *Messenger) FetchServers(
	ctx context.Context, address string, after watcher.Position,
) (*FetchServersReply, error) {
	var reply FetchServersReply
	args := &FetchServersArgs{After: after.Version, Era: after.Era}
	if err := m.callWithTimeout(ctx, address, "Servers", args, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// UpdateRequests reports changes in the state of requests to the owner at an address.
// It does not block. Updates that accumulate during a call are sent together in the
// next one.
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

// sendPending sends the pending updates of a link until there are none. Updates that
// cannot be sent are dropped: the owner releases slots at their deadline, and a new
// owner starts without state.
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

// Serve answers the calls of peers that connect to the listener until it is closed.
func (m *Messenger) Serve(ln net.Listener) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Router", &service{handlers: m.Handlers}); err != nil {
		return failer.Wrap("serve", KindRefused, err)
	}
	for {
		conn, err := ln.Accept()
		if isTemporary(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
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

// isTemporary reports whether a listener may accept connections again after an error.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
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

// service has the methods that net/rpc calls by name.
type service struct{ handlers Handlers }

// News answers Messenger.ExchangeGossip.
func (s *service) News(in *Gossip, out *Gossip) error {
	*out = s.handlers.Gossip(in)
	return nil
}

// Ask answers Messenger.Admit.
func (s *service) Ask(in *AdmitArgs, out *AdmitReply) error {
	*out = s.handlers.Admit(in)
	return nil
}

// Settle answers Messenger.UpdateRequests.
func (s *service) Settle(in *RequestUpdates, out *RequestUpdatesReply) error {
	out.Forgotten = s.handlers.UpdateRequests(in)
	return nil
}

// Fetch answers Messenger.FetchConfig.
func (s *service) Fetch(in *FetchConfigArgs, out *FetchConfigReply) error {
	*out = s.handlers.FetchConfig(in.After)
	return nil
}

// Servers answers Messenger.FetchServers.
func (s *service) Servers(in *FetchServersArgs, out *FetchServersReply) error {
	*out = s.handlers.FetchServers(watcher.Position{Era: in.Era, Version: in.After})
	return nil
}
