package placer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRemovingRouterKeepsOrderOfOthers checks that routers in the preferred zone
// rank first, and that removing a router does not reorder the others, so that
// only its keys move.
func TestRemovingRouterKeepsOrderOfOthers(t *testing.T) {
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
			t.Fatalf("ranking is %v for routers %v", ranked, routers)
		}
		otherZoneSeen := false
		for _, name := range ranked {
			i := slices.IndexFunc(routers, func(r Router) bool { return r.Name == name })
			if zone != "" && routers[i].AvailabilityZone != zone {
				otherZoneSeen = true
			} else if otherZoneSeen {
				t.Fatalf("%s in preferred zone %q ranks after a router of another zone in %v", name, zone, ranked)
			}
		}
		removed := rapid.IntRange(0, len(routers)-1).Draw(t, "removed")
		name := routers[removed].Name
		remaining := Rank(slices.Delete(slices.Clone(routers), removed, removed+1), key, zone)
		if want := slices.DeleteFunc(slices.Clone(ranked), func(n string) bool { return n == name }); !slices.Equal(remaining, want) {
			t.Fatalf("ranking %v without %s is %v", ranked, name, remaining)
		}
	})
}

// TestKeysAreBalanced checks that no router owns far more keys than others.
func TestKeysAreBalanced(t *testing.T) {
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
