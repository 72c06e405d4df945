package admitter

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt. ID stands for the part and all parts before it,
// as an engine can use a part only if it keeps those too.
type Part struct {
	ID     uint64
	Tokens int
}

// Chain returns the parts of a prompt from their names and sizes, in order.
func Chain(model string, names []string, tokens []int) []Part {
	out := make([]Part, len(names))
	h := xxhash.Sum64String(model)
	for i, n := range names {
		// The multiplication keeps the order of parts significant.
		h = h*1099511628211 ^ xxhash.Sum64String(n)
		out[i] = Part{ID: h, Tokens: tokens[i]}
	}
	return out
}

// memory is what an engine probably keeps of prompts it has read: the least
// recently used parts yield first. It follows the engine's own rule from the
// requests sent there, without asking the engine.
type memory struct {
	capacity int
	used     int
	byID     map[uint64]*list.Element
	recent   *list.List
}

// missing returns how many tokens of a prompt have to be read.
func (m *memory) missing(prompt int, parts []Part) int {
	kept := 0
	for _, p := range parts {
		if m.byID[p.ID] == nil {
			break
		}
		kept += p.Tokens
	}
	return max(0, prompt-kept)
}

// read notes that the engine reads a prompt.
func (m *memory) read(parts []Part) {
	if m.byID == nil {
		m.byID = map[uint64]*list.Element{}
		m.recent = list.New()
	}
	// The first part is touched last, since no other can be used without it.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := m.byID[p.ID]; e != nil {
			m.recent.MoveToFront(e)
			continue
		}
		m.byID[p.ID] = m.recent.PushFront(p)
		m.used += p.Tokens
	}
	for m.used > m.capacity && m.recent.Len() > 0 {
		last := m.recent.Back()
		p := m.recent.Remove(last).(Part)
		delete(m.byID, p.ID)
		m.used -= p.Tokens
	}
}
