package conductor

import (
	"slices"
	"sync"
)

// unreservedFraction is the part of a router's limit up to which any workspace's
// requests are taken. The rest is for workspaces that have less than their even
// share of it. The load that it answers: one workspace floods a router that others
// reach, too, and in what is refused blindly they lose as large a part as it does.
const unreservedFraction = 0.9

// workspaceCounts counts the requests that a router serves for each workspace. The zero
// value is empty.
type workspaceCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *workspaceCounts) add(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[workspace]++
}

func (c *workspaceCounts) remove(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[workspace]--; c.counts[workspace] <= 0 {
		delete(c.counts, workspace)
	}
}

// isBelowFairShare says whether a workspace has less than the even share of room for so many
// requests, where those that have less leave the rest to the others.
func (c *workspaceCounts) isBelowFairShare(workspace string, capacity float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.counts[workspace]
	others := make([]int, 0, len(c.counts))
	for w, n := range c.counts {
		if w != workspace {
			others = append(others, n)
		}
	}
	slices.Sort(others)
	for i, n := range others {
		fairShare := capacity / float64(len(others)-i+1)
		if float64(n) >= fairShare {
			return float64(own) < fairShare
		}
		capacity -= float64(n)
	}
	return float64(own) < capacity
}
