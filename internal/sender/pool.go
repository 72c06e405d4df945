package sender

import (
	"sync"
	"time"
)

// pool holds the idle connections to one server.
type pool struct {
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// get returns a usable idle connection, or nil.
func (p *pool) get(now time.Time, atMostOnce bool) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.After(c.reusableUntil) || atMostOnce && now.Sub(c.lastUsed) > maxAtMostOnceIdle ||
			!c.isIdle() {
			c.Close()
			continue
		}
		c.reused = true
		return c
	}
}

func (p *pool) put(now time.Time, c *conn) {
	c.lastUsed = now
	p.mu.Lock()
	if p.closed || len(p.idle) >= maxIdleConns {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// keepUnused returns a connection to the pool on which nothing was sent.
func (c *conn) keepUnused() {
	now := time.Now()
	if c.reusableUntil.IsZero() {
		c.reusableUntil = now.Add(maxAtMostOnceIdle)
	}
	c.pool.put(now, c)
}
