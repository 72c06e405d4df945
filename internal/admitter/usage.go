package admitter

import (
	"math"
	"time"
)

// usage is how much each workspace was granted lately across the fleet, in
// tokens: a prompt's token counts once and an answer's twice, as in the
// fleet's rated throughput. Past grants fade exponentially, all at the same
// rate, so that sums fade like their parts.
type usage struct {
	fade  time.Duration
	own   map[string]*grant
	peers map[string]*peerUsage
	// total sums the own grants and the peers'.
	total map[string]*faded
	// last numbers the own grants.
	last uint64
}

// faded is a value that loses 1/e of itself in each span of usage.fade.
type faded struct {
	value float64
	at    time.Time
}

// grant is what this router granted one workspace.
type grant struct {
	faded
	// number is that of the newest grant.
	number uint64
}

// peerUsage is what a peer granted, told up to a number.
type peerUsage struct {
	granted map[string]*faded
	till    uint64
}

func (u *usage) now(f *faded, now time.Time) float64 {
	if f == nil {
		return 0
	}
	age := now.Sub(f.at)
	if age <= 0 {
		return f.value
	}
	return f.value * math.Exp(-float64(age)/float64(u.fade))
}

// add changes a value that has faded until now.
func (u *usage) add(f *faded, now time.Time, tokens float64) {
	f.value = max(0, u.now(f, now)+tokens)
	f.at = now
}

func (u *usage) addTotal(now time.Time, workspace string, tokens float64) {
	if u.total == nil {
		u.total = map[string]*faded{}
	}
	f := u.total[workspace]
	if f == nil {
		f = &faded{}
		u.total[workspace] = f
	}
	u.add(f, now, tokens)
}

func (u *usage) charge(now time.Time, workspace string, tokens float64) {
	if u.own == nil {
		u.own = map[string]*grant{}
	}
	g := u.own[workspace]
	if g == nil {
		g = &grant{}
		u.own[workspace] = g
	}
	before := u.now(&g.faded, now)
	u.add(&g.faded, now, tokens)
	u.last++
	g.number = u.last
	u.addTotal(now, workspace, g.value-before)
}

// of returns what the workspace was granted by all routers.
func (u *usage) of(now time.Time, workspace string) float64 { return u.now(u.total[workspace], now) }

// hear takes in what a peer granted since it was heard last.
func (u *usage) hear(now time.Time, peer string, grants map[string]uint, till uint64) {
	if u.peers == nil {
		u.peers = map[string]*peerUsage{}
	}
	p := u.peers[peer]
	if p == nil {
		p = &peerUsage{granted: map[string]*faded{}}
		u.peers[peer] = p
	}
	for w, v := range grants {
		u.addTotal(now, w, float64(v)-u.now(p.granted[w], now))
		p.granted[w] = &faded{value: float64(v), at: now}
	}
	p.till = till
}

// seen returns up to which number a peer's grants are known.
func (u *usage) seen(peer string) uint64 {
	if p := u.peers[peer]; p != nil {
		return p.till
	}
	return 0
}

// forget takes back what a peer told.
func (u *usage) forget(now time.Time, peer string) {
	if p := u.peers[peer]; p != nil {
		for w, f := range p.granted {
			u.addTotal(now, w, -u.now(f, now))
		}
		delete(u.peers, peer)
	}
}

// since returns this router's own grants after a number, and the number of the
// last one. A number that it never gave is from an earlier process.
func (u *usage) since(now time.Time, number uint64) (map[string]uint, uint64) {
	if number > u.last {
		number = 0
	}
	out := map[string]uint{}
	for w, g := range u.own {
		switch {
		case now.Sub(g.at) > keptFades*u.fade:
			delete(u.own, w)
		case g.number > number:
			out[w] = uint(u.now(&g.faded, now))
		}
	}
	return out, u.last
}

const (
	// forgotten is the number of tokens below which grants count as faded away.
	forgotten = 1
	// keptFades is the number of spans of usage.fade for which a workspace without
	// grants is kept: after these little is left of any, and all peers were told.
	keptFades = 10
)

// mean returns the mean over the workspaces that were granted anything lately.
func (u *usage) mean(now time.Time) float64 {
	sum, n := 0.0, 0
	for w, f := range u.total {
		v := u.now(f, now)
		if v < forgotten {
			delete(u.total, w)
			continue
		}
		sum += v
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
