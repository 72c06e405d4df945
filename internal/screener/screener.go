// Package screener bounds what clients make a process hold before their requests are complete. A Screener has one
// budget for all connections of a process; each listener has a Port, and each connection a Conn that counts the bytes
// of a request head before the HTTP server reads them, and its time. Over the budget, the requests that have been
// unfinished for the longest are given up.
package screener

import (
	"container/list"
	"net"
	"sync"
	"time"
)

const (
	// bytesPerHeadByte and bytesPerLine estimate the memory of a request head that is being read: the text and the
	// strings made of it, and for each line an entry in the header's map with its key and its list of values.
	bytesPerHeadByte = 2
	bytesPerLine     = 160
	// freeBytes of this memory are part of what each connection is known to need, and are not counted.
	freeBytes = 12 << 10
	// completeFreeBytes are not counted once the head is complete, since the limit of concurrent requests covers
	// them. A head of 16 KB with 64 lines stays below.
	completeFreeBytes = 48 << 10
)

// Reasons for which connections are given up, for logs and metrics.
const (
	ReasonHeadTooLarge    = "head-too-large"
	ReasonMessageTooLarge = "message-too-large"
	ReasonMemory          = "memory"
	ReasonConnections     = "connections"
)

// Limits are the operators' limits for clients.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout is how long a client may take from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Screener holds the budget of a process. Its fields must be set. Its methods and those of its ports are safe for
// concurrent use.
type Screener struct {
	// MaxBytes limits the memory for unfinished requests.
	MaxBytes int64
	// Limits returns the limits, which may change at any time.
	Limits func() Limits
	// OnGiveUp is called for each connection that is given up, with the name of its port and the reason.
	OnGiveUp func(port, reason string)

	mu    sync.Mutex
	used  int64
	ports []*Port
}

// Port is one listener's part of a Screener. Use Screener.NewPort to create one.
type Port struct {
	screener *Screener
	name     string
	// maxConns is the number of connections that may be open, or 0 if the listener limits them itself.
	maxConns int
	// maxMessageBytes is the size of the largest message on ports of net/rpc; 0 means that the port is one of HTTP.
	maxMessageBytes int64

	open int
	// unfinished lists the connections without a complete request, the longest unfinished first, and idle those
	// that wait for their next request, the longest idle first.
	unfinished, idle list.List
}

// NewPort returns the part of an HTTP listener. If maxConns is 0, the listener itself limits the connections, and
// their idle time is not recorded.
func (s *Screener) NewPort(name string, maxConns int) *Port {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Port{screener: s, name: name, maxConns: maxConns}
	s.ports = append(s.ports, p)
	return p
}

// NewMessagePort returns the part of a listener of net/rpc, whose messages have at most maxMessageBytes.
func (s *Screener) NewMessagePort(name string, maxConns int, maxMessageBytes int64) *Port {
	p := s.NewPort(name, maxConns)
	p.maxMessageBytes = maxMessageBytes
	return p
}

// UsedBytes returns the memory that counts toward the budget.
func (s *Screener) UsedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Wrap returns a connection that was accepted. onGiveUp, if not nil, is called when the connection is given up,
// before it is closed. Wrap returns nil if the port's connections are all in use.
func (p *Port) Wrap(c net.Conn, onGiveUp func()) *Conn {
	conn := &Conn{Conn: c, port: p, onGiveUp: onGiveUp, inHead: true, registered: true}
	s := p.screener
	s.mu.Lock()
	var victim *Conn
	full := p.maxConns > 0 && p.open >= p.maxConns
	if full {
		if victim = p.oldest(); victim != nil {
			victim.removeLocked()
		}
	}
	if !full || victim != nil {
		p.open++
		conn.counted, conn.since = true, time.Now()
		conn.element = p.unfinished.PushBack(conn)
	}
	s.mu.Unlock()
	if victim != nil {
		victim.giveUp(ReasonConnections)
	}
	if !conn.counted {
		s.OnGiveUp(p.name, ReasonConnections)
		return nil
	}
	return conn
}

// oldest returns the connection to close in favor of a new one, or nil. The screener's lock must be held.
func (p *Port) oldest() *Conn {
	for _, l := range []*list.List{&p.unfinished, &p.idle} {
		if e := l.Front(); e != nil {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// UnfinishedSince returns since when the longest unfinished request of the port has been so.
func (p *Port) UnfinishedSince() (since time.Time, ok bool) {
	p.screener.mu.Lock()
	defer p.screener.mu.Unlock()
	if e := p.unfinished.Front(); e != nil {
		return e.Value.(*Conn).since, true
	}
	return time.Time{}, false
}

// GiveUpOldest closes the connection with the longest unfinished request in favor of a new connection, and reports
// whether there was one.
func (p *Port) GiveUpOldest() bool {
	p.screener.mu.Lock()
	e := p.unfinished.Front()
	if e == nil {
		p.screener.mu.Unlock()
		return false
	}
	victim := e.Value.(*Conn)
	victim.removeLocked()
	p.screener.mu.Unlock()
	victim.giveUp(ReasonConnections)
	return true
}

// longestUnfinished returns the connection with the longest unfinished request of all ports, or nil. The lock must
// be held.
func (s *Screener) longestUnfinished() *Conn {
	var longest *Conn
	for _, p := range s.ports {
		if e := p.unfinished.Front(); e != nil {
			if c := e.Value.(*Conn); longest == nil || c.since.Before(longest.since) {
				longest = c
			}
		}
	}
	return longest
}

// charge sets the memory that a connection counts for. It gives up connections until the budget is kept, the longest
// unfinished ones first, and reports whether the connection itself was not among them.
func (s *Screener) charge(c *Conn, bytes int64) (kept bool) {
	s.mu.Lock()
	if c.gone {
		s.mu.Unlock()
		return false
	}
	s.used += bytes - c.charged
	c.charged = bytes
	var victims []*Conn
	for s.used > s.MaxBytes && !c.gone {
		victim := s.longestUnfinished()
		if victim == nil {
			victim = c
		}
		victim.removeLocked()
		victims = append(victims, victim)
	}
	kept = !c.gone
	s.mu.Unlock()
	for _, v := range victims {
		v.giveUp(ReasonMemory)
	}
	return kept
}

// Listener applies a Port to the connections of a listener.
type Listener struct {
	net.Listener
	Port *Port
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.Port.Wrap(c, nil); conn != nil {
			return conn, nil
		}
		// The connection is given up; an error while it is closed is of no concern.
		_ = c.Close()
	}
}
