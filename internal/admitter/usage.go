package admitter

import (
	"math"
	"time"
)

// usage is how much each workspace was granted lately across the fleet, in
// tokens: a prompt's token counts once and an answer's twice, as in the
// fleet's rated throughput. Past grants fade exponentially.
type usage struct {
	fade  time.Duration
	own   map[string]faded
	peers map[string]map[string]faded
}

// faded is a value that loses 1/e of itself in each span of usage.fade.
type faded struct {
	value float64
	at    time.Time
}

func (u *usage) now(f faded, now time.Time) float64 {
	age := now.Sub(f.at)
	if age <= 0 {
		return f.value
	}
	return f.value * math.Exp(-float64(age)/float64(u.fade))
}

func (u *usage) charge(now time.Time, workspace string, tokens float64) {
	if u.own == nil {
		u.own = map[string]faded{}
	}
	u.own[workspace] = faded{value: max(0, u.now(u.own[workspace], now)+tokens), at: now}
}

// of returns what the workspace was granted by all routers.
func (u *usage) of(now time.Time, workspace string) float64 {
	sum := u.now(u.own[workspace], now)
	for _, p := range u.peers {
		sum += u.now(p[workspace], now)
	}
	return sum
}

// set replaces what is known of a peer's grants.
func (u *usage) set(now time.Time, peer string, grants map[string]float64) {
	if u.peers == nil {
		u.peers = map[string]map[string]faded{}
	}
	m := make(map[string]faded, len(grants))
	for w, v := range grants {
		m[w] = faded{value: v, at: now}
	}
	u.peers[peer] = m
}

// granted returns this router's own grants, without those that have faded.
func (u *usage) granted(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(u.own))
	for w, f := range u.own {
		v := u.now(f, now)
		if v < 1 {
			delete(u.own, w)
			continue
		}
		out[w] = v
	}
	return out
}

// mean returns the mean over the workspaces that were granted anything lately.
func (u *usage) mean(now time.Time) float64 {
	sum, seen := 0.0, map[string]bool{}
	add := func(m map[string]faded) {
		for w, f := range m {
			sum += u.now(f, now)
			seen[w] = true
		}
	}
	add(u.own)
	for _, p := range u.peers {
		add(p)
	}
	if len(seen) == 0 {
		return 0
	}
	return sum / float64(len(seen))
}
