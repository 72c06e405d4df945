// Package placer places soft state on routers by rendezvous hashing, so that
// routers with the same view agree on the place without talking, and a changed
// view moves only what it has to.
package placer

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Router is a candidate for a place.
type Router struct {
	Name             string
	AvailabilityZone string
}

// score mixes the hashes of key and router name.
func score(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	// The finalizer of a 64-bit mix spreads the combined bits, as xor alone
	// would keep the order of two routers related between keys.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Owner returns the router that owns the key, or "" without routers. Routers in
// the availability zone are preferred; zone "" prefers none.
func Owner(routers []Router, key, zone string) string {
	ranked := Rank(routers, key, zone)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Rank returns the names of all routers, the best place for the key first.
func Rank(routers []Router, key, zone string) []string {
	h := xxhash.Sum64String(key)
	ranked := append([]Router(nil), routers...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if zone != "" && (a.AvailabilityZone == zone) != (b.AvailabilityZone == zone) {
			return a.AvailabilityZone == zone
		}
		sa, sb := score(h, a.Name), score(h, b.Name)
		if sa != sb {
			return sa > sb
		}
		return a.Name < b.Name
	})
	names := make([]string, len(ranked))
	for i, r := range ranked {
		names[i] = r.Name
	}
	return names
}

// ID returns the 32-bit identifier that stands for a name in peer messages.
// The check of declarations refuses two names that share one.
func ID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
