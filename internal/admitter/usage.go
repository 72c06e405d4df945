package admitter

import (
	"math"
	"time"
)

// usageTracker tracks the recent usage of each workspace across the fleet, in weighted
// tokens: a prompt token counts once and an answer token twice, as in the fleet's rated
// throughput. Usage decays exponentially. As all values decay at the same rate, a sum decays
// like its parts.
type usageTracker struct {
	timeConstant time.Duration
	ownGrants    map[string]*ownGrant
	peers        map[string]*peerUsage
	// total is the sum of the grants of this router and its peers, by workspace.
	total map[string]*decayingSum
	// most is the largest sum in total, or nil if it must be searched. As all sums decay at the
	// same rate, it stays the largest until a sum changes.
	most *decayingSum
	// lastSequence is the sequence number of this router's latest grant.
	lastSequence uint64
}

// decayingSum is a value that decays by a factor of e in each usageTracker.timeConstant.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

// ownGrant is the usage that this router granted to one workspace.
type ownGrant struct {
	decayingSum
	// sequence is the sequence number of the latest grant.
	sequence uint64
}

// peerUsage is the usage that a peer granted, as reported up to a sequence number.
type peerUsage struct {
	granted  map[string]*decayingSum
	sequence uint64
}

// current returns the decayed value of a sum, or 0 if it is nil.
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

// add adds tokens to a sum after decaying it. The sum does not become negative.
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
	switch {
	case sum == u.most && tokens < 0:
		u.most = nil
	case u.most != nil && sum.value > u.current(u.most, now):
		u.most = sum
	}
}

// charge adds tokens to the usage that this router granted to a workspace. A negative number
// refunds an earlier charge.
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

// workspaceTokens returns the usage that all routers granted to a workspace.
func (u *usageTracker) workspaceTokens(now time.Time, workspace string) float64 {
	return u.current(u.total[workspace], now)
}

// mergePeerGrants replaces the usage of the workspaces that a peer reported.
func (u *usageTracker) mergePeerGrants(
	now time.Time, peer string, grants map[string]uint, sequence uint64,
) {
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

// peerSequence returns the sequence number up to which a peer's grants are known.
func (u *usageTracker) peerSequence(peer string) uint64 {
	if p := u.peers[peer]; p != nil {
		return p.sequence
	}
	return 0
}

// removePeer removes the usage reported by a peer.
func (u *usageTracker) removePeer(now time.Time, peer string) {
	if p := u.peers[peer]; p != nil {
		for workspace, sum := range p.granted {
			u.addTotal(now, workspace, -u.current(sum, now))
		}
		delete(u.peers, peer)
	}
}

// grantsSince returns the usage of the workspaces with a grant of this router after a
// sequence number, and the latest sequence number. A number greater than the latest was
// issued by an earlier process of this router; all usage is returned then.
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
	// negligibleTokens is the usage below which a workspace counts as unused.
	negligibleTokens = 1
	// retainedTimeConstants is the number of time constants for which a workspace without new
	// grants is kept. By then its usage is negligible and has been reported to all peers.
	retainedTimeConstants = 10
)

// mean returns the mean usage of the workspaces with recent usage.
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

// largest returns the usage of the workspace that used most.
func (u *usageTracker) largest(now time.Time) float64 {
	if u.most == nil {
		for _, sum := range u.total {
			if u.most == nil || u.current(sum, now) > u.current(u.most, now) {
				u.most = sum
			}
		}
	}
	return u.current(u.most, now)
}
