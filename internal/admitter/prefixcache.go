package admitter

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt. ID stands for the part and all parts before it,
// as an engine can use a part only if it keeps those too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// HashParts returns the parts of a prompt from their names and sizes, in order.
func HashParts(model string, names []string, tokens []int) []PromptPart {
	out := make([]PromptPart, len(names))
	hash := xxhash.Sum64String(model)
	for i, name := range names {
		// The multiplication keeps the order of parts significant.
		hash = hash*1099511628211 ^ xxhash.Sum64String(name)
		out[i] = PromptPart{ID: hash, Tokens: tokens[i]}
	}
	return out
}

// prefixCache is what an engine probably keeps of prompts it has read: the least
// recently used parts yield first. It follows the engine's own rule from the
// requests sent there, without asking the engine.
type prefixCache struct {
	capacity int
	used     int
	byID     map[uint64]*list.Element
	lru      *list.List
}

// uncachedTokens returns how many tokens of a prompt have to be read.
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

// insert notes that the engine reads a prompt.
func (c *prefixCache) insert(parts []PromptPart) {
	if c.byID == nil {
		c.byID = map[uint64]*list.Element{}
		c.lru = list.New()
	}
	// The first part is touched last, since no other can be used without it.
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
