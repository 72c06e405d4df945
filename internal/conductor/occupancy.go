package conductor

import (
	"slices"
	"sync"
)

// contestedShare is the part of a router's limit up to which any workspace's
// requests are taken. The rest is for workspaces that have less than their even
// share of it. The load that it answers: one workspace floods a router that others
// reach, too, and in what is refused blindly they lose as large a part as it does.
const contestedShare = 0.9

// occupancy counts the requests that a router serves for each workspace. The zero
// value is empty.
type occupancy struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *occupancy) add(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[workspace]++
}

func (o *occupancy) remove(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts[workspace]--; o.counts[workspace] <= 0 {
		delete(o.counts, workspace)
	}
}

// below says whether a workspace has less than the even share of room for so many
// requests, where those that have less leave the rest to the others.
func (o *occupancy) below(workspace string, room float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.counts[workspace]
	others := make([]int, 0, len(o.counts))
	for w, n := range o.counts {
		if w != workspace {
			others = append(others, n)
		}
	}
	slices.Sort(others)
	for i, n := range others {
		even := room / float64(len(others)-i+1)
		if float64(n) >= even {
			return float64(own) < even
		}
		room -= float64(n)
	}
	return float64(own) < room
}
