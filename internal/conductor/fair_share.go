package conductor

import (
	"slices"
	"sync"
)

// unreservedFraction is the fraction of a router's limit up to which requests of any workspace
// are accepted. The rest is reserved for workspaces below their fair share. Without the
// reserve, when one workspace floods a router, all workspaces that use the router have the same
// fraction of their requests refused.
const unreservedFraction = 0.9

// workspaceCounts counts the active requests of each workspace. The zero value is empty.
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

// largest returns the workspace with the most active requests and their number.
func (c *workspaceCounts) largest() (workspace string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, count := range c.counts {
		if count > n || count == n && w < workspace {
			workspace, n = w, count
		}
	}
	return workspace, n
}

// isBelowFairShare reports whether a workspace has fewer active requests than its max-min fair
// share of a capacity: workspaces below an even share leave the rest of it to the others.
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
