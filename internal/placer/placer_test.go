package placer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRankMovesOnlyWhatItHasTo takes a router away: all others keep their order,
// so that only what it held moves, and those of the zone come first.
func TestRankMovesOnlyWhatItHasTo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		routers := make([]Router, rapid.IntRange(1, 20).Draw(t, "routers"))
		for i := range routers {
			routers[i] = Router{Name: fmt.Sprint("r", i), AvailabilityZone: rapid.SampledFrom(zones).Draw(t, "zone")}
		}
		key := rapid.String().Draw(t, "key")
		zone := rapid.SampledFrom(append(zones, "")).Draw(t, "preferred")
		ranked := Rank(routers, key, zone)
		if len(ranked) != len(routers) || ranked[0] != Owner(routers, key, zone) {
			t.Fatalf("%v of %v", ranked, routers)
		}
		far := false
		for _, name := range ranked {
			i := slices.IndexFunc(routers, func(r Router) bool { return r.Name == name })
			if zone != "" && routers[i].AvailabilityZone != zone {
				far = true
			} else if far {
				t.Fatalf("%s of zone %q comes late in %v", name, zone, ranked)
			}
		}
		gone := rapid.IntRange(0, len(routers)-1).Draw(t, "gone")
		name := routers[gone].Name
		left := Rank(slices.Delete(slices.Clone(routers), gone, gone+1), key, zone)
		if want := slices.DeleteFunc(slices.Clone(ranked), func(n string) bool { return n == name }); !slices.Equal(left, want) {
			t.Fatalf("%v without %s is %v", ranked, name, left)
		}
	})
}

// TestKeysSpread checks that no router owns far more keys than others.
func TestKeysSpread(t *testing.T) {
	routers := make([]Router, 10)
	for i := range routers {
		routers[i].Name = fmt.Sprint("router-", i)
	}
	owned := map[string]int{}
	const keys = 10_000
	for i := range keys {
		owned[Owner(routers, fmt.Sprint("key-", i), "")]++
	}
	for name, n := range owned {
		if n < keys/len(routers)*8/10 || n > keys/len(routers)*12/10 {
			t.Errorf("%s owns %d of %d", name, n, keys)
		}
	}
}
