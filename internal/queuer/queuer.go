// Package queuer keeps the requests that wait at one router, in memory, within
// bounds. It orders the work inside a workspace by urgency without starving any
// of it, and sheds from the workspace that is furthest over its share.
package queuer

import (
	"time"
)

// urgencyFactor is how much faster the waiting time of the next urgency counts.
// Within one workspace the head with the largest factored waiting time goes
// first, so less urgent work is slower but never starves.
const urgencyFactor = 4

// UrgencyLevels is the number of urgency ranks.
const UrgencyLevels = 3

// Key names one queue: a workspace's requests for a pool.
type Key struct {
	Pool      uint32
	Workspace uint32
}

// Item is one waiting request.
type Item struct {
	ID       uint64
	Key      Key
	Urgency  uint8
	Arrived  time.Time
	Deadline time.Time
	// Cost is the estimated cost, in tokens or milliseconds.
	Cost  float64
	Bytes int
}

// Limits bounds the waiting requests of one router.
type Limits struct {
	Requests int
	Bytes    int
}

type queue struct {
	byUrgency [UrgencyLevels][]*Item
	count     int
}

type usage struct {
	requests int
	bytes    int
}

// Queuer holds all queues of a router. Weight must be set; it gives a
// workspace's weight. It is not safe for concurrent use.
type Queuer struct {
	Limits Limits
	Weight func(workspace uint32) float64

	queues           map[Key]*queue
	usageByWorkspace map[uint32]usage
	totalUsage       usage
}

// Head tells an owner what waits in a queue.
type Head struct {
	Count   int
	Urgency uint8
	Arrived time.Time
	Cost    float64
}

// Push adds a request and returns those that were shed for it, which may be the
// request itself.
func (q *Queuer) Push(it *Item) []*Item {
	if q.queues == nil {
		q.queues = map[Key]*queue{}
		q.usageByWorkspace = map[uint32]usage{}
	}
	waiting := q.queues[it.Key]
	if waiting == nil {
		waiting = &queue{}
		q.queues[it.Key] = waiting
	}
	level := min(it.Urgency, UrgencyLevels-1)
	waiting.byUrgency[level] = append(waiting.byUrgency[level], it)
	waiting.count++
	q.updateUsage(it, 1)
	var shed []*Item
	for q.totalUsage.requests > q.Limits.Requests || q.totalUsage.bytes > q.Limits.Bytes {
		victim := q.selectVictim()
		q.remove(victim)
		shed = append(shed, victim)
	}
	return shed
}

func (q *Queuer) updateUsage(it *Item, sign int) {
	u := q.usageByWorkspace[it.Key.Workspace]
	u.requests += sign
	u.bytes += sign * it.Bytes
	q.usageByWorkspace[it.Key.Workspace] = u
	if u.requests == 0 {
		delete(q.usageByWorkspace, it.Key.Workspace)
	}
	q.totalUsage.requests += sign
	q.totalUsage.bytes += sign * it.Bytes
}

// selectVictim picks the newest least urgent request of the workspace that uses the
// most of the bounded resource for its weight. When a bound is passed, that
// workspace is above its share, as not all can be at or below it.
func (q *Queuer) selectVictim() *Item {
	overBytes := q.totalUsage.bytes > q.Limits.Bytes
	var heaviest uint32
	heaviestUse := -1.0
	for workspace, u := range q.usageByWorkspace {
		use := float64(u.requests)
		if overBytes {
			use = float64(u.bytes)
		}
		use /= q.Weight(workspace)
		if use > heaviestUse || use == heaviestUse && workspace < heaviest {
			heaviest, heaviestUse = workspace, use
		}
	}
	var victim *Item
	for k, queue := range q.queues {
		if k.Workspace != heaviest {
			continue
		}
		for _, items := range queue.byUrgency {
			if len(items) == 0 {
				continue
			}
			last := items[len(items)-1]
			if victim == nil || shedBefore(last, victim) {
				victim = last
			}
			break
		}
	}
	return victim
}

// shedBefore says whether a goes before b when one of them must be shed.
func shedBefore(a, b *Item) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.After(b.Arrived)
	}
	return a.ID > b.ID
}

// PriorityScore orders waiting heads inside one workspace, also between routers.
func PriorityScore(urgency uint8, waited time.Duration) float64 {
	score := float64(waited + time.Millisecond)
	for range min(urgency, UrgencyLevels-1) {
		score *= urgencyFactor
	}
	return score
}

// next returns the queue's next request without removing it.
func (q *queue) next(now time.Time) *Item {
	var best *Item
	bestScore := -1.0
	for u := UrgencyLevels - 1; u >= 0; u-- {
		if len(q.byUrgency[u]) == 0 {
			continue
		}
		it := q.byUrgency[u][0]
		if s := PriorityScore(it.Urgency, now.Sub(it.Arrived)); s > bestScore {
			best, bestScore = it, s
		}
	}
	return best
}

// Pop removes and returns the queue's next request, or nil.
func (q *Queuer) Pop(now time.Time, k Key) *Item {
	queue := q.queues[k]
	if queue == nil {
		return nil
	}
	it := queue.next(now)
	if it != nil {
		q.remove(it)
	}
	return it
}

// Head describes the queue; its Count is 0 when nothing waits.
func (q *Queuer) Head(now time.Time, k Key) Head {
	queue := q.queues[k]
	if queue == nil {
		return Head{}
	}
	it := queue.next(now)
	return Head{Count: queue.count, Urgency: it.Urgency, Arrived: it.Arrived, Cost: it.Cost}
}

// CountAhead returns how many requests of the queue are at least as urgent.
func (q *Queuer) CountAhead(k Key, urgency uint8) int {
	queue := q.queues[k]
	if queue == nil {
		return 0
	}
	n := 0
	for u := min(urgency, UrgencyLevels-1); u < UrgencyLevels; u++ {
		n += len(queue.byUrgency[u])
	}
	return n
}

// Remove takes one request out, if it still waits, and says whether it did.
func (q *Queuer) Remove(k Key, id uint64) bool {
	queue := q.queues[k]
	if queue == nil {
		return false
	}
	for _, items := range queue.byUrgency {
		for _, it := range items {
			if it.ID == id {
				q.remove(it)
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queuer) Expire(now time.Time) []*Item {
	var expired []*Item
	for _, queue := range q.queues {
		for _, items := range queue.byUrgency {
			for _, it := range items {
				if !now.Before(it.Deadline) {
					expired = append(expired, it)
				}
			}
		}
	}
	for _, it := range expired {
		q.remove(it)
	}
	return expired
}

func (q *Queuer) remove(it *Item) {
	queue := q.queues[it.Key]
	level := min(it.Urgency, UrgencyLevels-1)
	items := queue.byUrgency[level]
	for i := range items {
		if items[i] != it {
			continue
		}
		items[i] = nil
		if i == 0 {
			items = items[1:]
		} else {
			items = append(items[:i], items[i+1:]...)
		}
		break
	}
	queue.byUrgency[level] = items
	queue.count--
	if queue.count == 0 {
		delete(q.queues, it.Key)
	}
	q.updateUsage(it, -1)
}

// Keys returns the queues in which something waits.
func (q *Queuer) Keys() []Key {
	keys := make([]Key, 0, len(q.queues))
	for k := range q.queues {
		keys = append(keys, k)
	}
	return keys
}

// Len returns the number of waiting requests and their bytes.
func (q *Queuer) Len() (requests, bytes int) { return q.totalUsage.requests, q.totalUsage.bytes }
