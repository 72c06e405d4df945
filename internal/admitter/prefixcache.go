package admitter

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt. Its ID covers the part and all parts before it,
// because an engine can reuse a cached part only together with all preceding parts.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// HashParts returns the parts of a prompt with the given names and token counts, in order.
func HashParts(model string, names []string, tokens []int) []PromptPart {
	out := make([]PromptPart, len(names))
	hash := xxhash.Sum64String(model)
	for i, name := range names {
		// The multiplication makes the hash depend on the order of the parts.
		hash = hash*1099511628211 ^ xxhash.Sum64String(name)
		out[i] = PromptPart{ID: hash, Tokens: tokens[i]}
	}
	return out
}

// prefixCache predicts the content of an engine's prefix cache. It applies the engine's
// eviction policy, LRU, to the requests sent there, without querying the engine.
type prefixCache struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	byID     map[uint64]*list.Element
	lru      *list.List
}

// uncachedTokens returns the number of tokens of a prompt that need prefill.
func (c *prefixCache) uncachedTokens(promptTokens int, parts []PromptPart) int {
	cached := 0
	for _, p := range parts {
		if c.byID[p.ID] == nil {
			break
		}
		cached += p.Tokens
	}
	return max(0, promptTokens-cached)
}

// insert adds the parts of a prompt that the engine prefills, and evicts the least recently
// used parts while the cache exceeds its capacity.
func (c *prefixCache) insert(parts []PromptPart) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
		c.lru = list.New()
	}
	// The first part becomes the most recently used, as no other can be reused without it.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if elem := c.byID[p.ID]; elem != nil {
			c.lru.MoveToFront(elem)
			continue
		}
		c.byID[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		p := c.lru.Remove(oldest).(PromptPart)
		delete(c.byID, p.ID)
		c.used -= p.Tokens
	}
}
