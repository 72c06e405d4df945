package admitter

import (
	"math"
	"time"
)

// usageTracker is how much each workspace was granted lately across the fleet, in
// tokens: a prompt's token counts once and an answer's twice, as in the
// fleet's rated throughput. Past grants fade exponentially, all at the same
// rate, so that sums fade like their parts.
type usageTracker struct {
	timeConstant time.Duration
	ownGrants    map[string]*ownGrant
	peers        map[string]*peerUsage
	// total sums the own grants and the peers'.
	total map[string]*decayingSum
	// lastSequence numbers the own grants.
	lastSequence uint64
}

// decayingSum is a value that loses 1/e of itself in each span of usage.fade.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

// ownGrant is what this router granted one workspace.
type ownGrant struct {
	decayingSum
	// sequence is that of the newest grant.
	sequence uint64
}

// peerUsage is what a peer granted, told up to a number.
type peerUsage struct {
	granted  map[string]*decayingSum
	sequence uint64
}

func (u *usageTracker) current(sum *decayingSum, now time.Time) float64 {
	if sum == nil {
		return 0
	}
	age := now.Sub(sum.updatedAt)
	if age <= 0 {
		return sum.value
	}
	return sum.value * math.Exp(-float64(age)/float64(u.timeConstant))
}

// add changes a value that has faded until now.
func (u *usageTracker) add(sum *decayingSum, now time.Time, tokens float64) {
	sum.value = max(0, u.current(sum, now)+tokens)
	sum.updatedAt = now
}

func (u *usageTracker) addTotal(now time.Time, workspace string, tokens float64) {
	if u.total == nil {
		u.total = map[string]*decayingSum{}
	}
	sum := u.total[workspace]
	if sum == nil {
		sum = &decayingSum{}
		u.total[workspace] = sum
	}
	u.add(sum, now, tokens)
}

func (u *usageTracker) charge(now time.Time, workspace string, tokens float64) {
	if u.ownGrants == nil {
		u.ownGrants = map[string]*ownGrant{}
	}
	g := u.ownGrants[workspace]
	if g == nil {
		g = &ownGrant{}
		u.ownGrants[workspace] = g
	}
	before := u.current(&g.decayingSum, now)
	u.add(&g.decayingSum, now, tokens)
	u.lastSequence++
	g.sequence = u.lastSequence
	u.addTotal(now, workspace, g.value-before)
}

// workspaceTokens returns what the workspace was granted by all routers.
func (u *usageTracker) workspaceTokens(now time.Time, workspace string) float64 {
	return u.current(u.total[workspace], now)
}

// mergePeerGrants takes in what a peer granted since it was heard last.
func (u *usageTracker) mergePeerGrants(now time.Time, peer string, grants map[string]uint, sequence uint64) {
	if u.peers == nil {
		u.peers = map[string]*peerUsage{}
	}
	p := u.peers[peer]
	if p == nil {
		p = &peerUsage{granted: map[string]*decayingSum{}}
		u.peers[peer] = p
	}
	for workspace, tokens := range grants {
		u.addTotal(now, workspace, float64(tokens)-u.current(p.granted[workspace], now))
		p.granted[workspace] = &decayingSum{value: float64(tokens), updatedAt: now}
	}
	p.sequence = sequence
}

// peerSequence returns up to which number a peer's grants are known.
func (u *usageTracker) peerSequence(peer string) uint64 {
	if p := u.peers[peer]; p != nil {
		return p.sequence
	}
	return 0
}

// removePeer takes back what a peer told.
func (u *usageTracker) removePeer(now time.Time, peer string) {
	if p := u.peers[peer]; p != nil {
		for workspace, sum := range p.granted {
			u.addTotal(now, workspace, -u.current(sum, now))
		}
		delete(u.peers, peer)
	}
}

// grantsSince returns this router's own grants after a number, and the number of the
// last one. A number that it never gave is from an earlier process.
func (u *usageTracker) grantsSince(now time.Time, sequence uint64) (map[string]uint, uint64) {
	if sequence > u.lastSequence {
		sequence = 0
	}
	out := map[string]uint{}
	for workspace, g := range u.ownGrants {
		switch {
		case now.Sub(g.updatedAt) > retainedTimeConstants*u.timeConstant:
			delete(u.ownGrants, workspace)
		case g.sequence > sequence:
			out[workspace] = uint(u.current(&g.decayingSum, now))
		}
	}
	return out, u.lastSequence
}

const (
	// negligibleTokens is the number of tokens below which grants count as faded away.
	negligibleTokens = 1
	// retainedTimeConstants is the number of spans of usage.fade for which a workspace without
	// grants is kept: after these little is left of any, and all peers were told.
	retainedTimeConstants = 10
)

// mean returns the mean over the workspaces that were granted anything lately.
func (u *usageTracker) mean(now time.Time) float64 {
	total, n := 0.0, 0
	for workspace, sum := range u.total {
		tokens := u.current(sum, now)
		if tokens < negligibleTokens {
			delete(u.total, workspace)
			continue
		}
		total += tokens
		n++
	}
	if n == 0 {
		return 0
	}
	return total / float64(n)
}
