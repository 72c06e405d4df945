// Package placer assigns soft state to routers by rendezvous hashing. Routers with
// the same membership view agree on the assignment without communication, and a
// membership change moves as few keys as possible.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Router is a candidate owner of keys.
type Router struct {
	Name             string
	AvailabilityZone string
}

// HashKey returns the hash of a key for Score.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Score returns the rendezvous weight of a candidate for a key. The candidate with
// the highest score is assigned the key.
func Score(keyHash uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ keyHash
	// Apply the finalizer of MurmurHash3. With xor alone, the order of two routers
	// would be correlated between keys.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Owner returns the name of the router that owns the key, or "" if there are no
// routers. Routers in the given availability zone take precedence, unless zone is
// empty.
func Owner(routers []Router, key, zone string) string {
	ranked := Rank(routers, key, zone)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Rank returns the names of all routers in order of preference for the key. The
// first is the owner. Routers in the given availability zone precede all others,
// unless zone is empty.
func Rank(routers []Router, key, zone string) []string {
	type scored struct {
		name      string
		score     uint64
		otherZone int
	}
	keyHash := HashKey(key)
	ranked := make([]scored, len(routers))
	for i, r := range routers {
		ranked[i] = scored{name: r.Name, score: Score(keyHash, r.Name)}
		if zone != "" && r.AvailabilityZone != zone {
			ranked[i].otherZone = 1
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.otherZone, b.otherZone), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(ranked))
	for i, r := range ranked {
		names[i] = r.name
	}
	return names
}

// ID returns the 32-bit identifier of a name in peer messages. Declarations in
// which two names have the same identifier are rejected.
func ID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
