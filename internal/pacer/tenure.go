package pacer

import (
	"math"
	"time"
)

// The rule for a cold server is that in no second it gets more than its rate times an overage, and a tolerance, summed
// over all routers. One router, its owner, lets requests start there, but while routers have different views of the
// fleet there may be two. The rule then holds as follows.
//
//   - A request is written at most GrantTTL after its grant, or not at all. So what is written within a second was granted
//     within TenureTime.
//   - A router lets requests start only after it has been the owner for TenureTime. So all routers that grant within a
//     period of TenureTime were owners at its beginning, and a sequence of owners counts no more than the owners of one
//     moment.
//   - An owner reaches at least minOwnerShare of the fleet and uses the share that it reaches. So the sides of a partition
//     together use the rate once, and only owners that many routers reach while they do not reach each other use it twice.
//   - Two owners at ColdRule.Rate stay within the rule.
const (
	// GrantTTL is how long a grant for a cold server may be used.
	GrantTTL = 100 * time.Millisecond
	// TenureTime is how long a router must have been the owner of a cold server before it lets requests start there.
	TenureTime = time.Second + GrantTTL
	// minOwnerShare is the share of the fleet that the owner of a cold server must reach.
	minOwnerShare = 0.5
	// maxTenureAge is how old the last update may be. A router that was frozen no longer knows whether it is the owner.
	maxTenureAge = 500 * time.Millisecond
	// maxOwners is the number of owners at the same time for which the rule holds.
	maxOwners = 2
)

// ColdRule is the margin of the rule for cold servers.
type ColdRule struct {
	// Overage and Tolerance are the users' values. Without them a cold server gets no more than its rate.
	Overage, Tolerance float64
}

// Allowed returns how many requests a cold server may get in any one second.
func (r ColdRule) Allowed(perSecond float64) float64 {
	return perSecond*max(1, r.Overage) + max(0, r.Tolerance)
}

// Rate returns the rate at which an owner lets requests start at a cold server that tolerates perSecond requests a second.
func (r ColdRule) Rate(perSecond float64) float64 {
	ownerStarts := max(1, math.Floor(r.Allowed(perSecond)/maxOwners))
	return min(perSecond, ownerStarts/TenureTime.Seconds())
}

// Tenure holds since when a router has been the owner of servers. The zero value is ready to use. It is not safe for
// concurrent use.
type Tenure struct {
	since     map[string]time.Duration
	updatedAt time.Duration
}

// Update replaces the servers that the router owns. share is the share of the fleet that it reaches, and listed whether it
// knows the list of routers; without that it cannot tell whether others are owners.
func (t *Tenure) Update(now time.Duration, owned []string, share float64, listed bool) {
	since := map[string]time.Duration{}
	if listed && share >= minOwnerShare {
		for _, id := range owned {
			at, ok := t.since[id]
			if !ok {
				at = now
			}
			since[id] = at
		}
	}
	t.since, t.updatedAt = since, now
}

// Lose ends the ownership of a server.
func (t *Tenure) Lose(server string) { delete(t.since, server) }

// MayGrant reports whether the router may let requests start at a cold server.
func (t *Tenure) MayGrant(now time.Duration, server string) bool {
	since, ok := t.since[server]
	return ok && now-since >= TenureTime && now-t.updatedAt <= maxTenureAge
}
