// Package queuer keeps the waiting requests of one router in bounded in-memory queues. It orders
// the requests of a workspace by urgency without starving any of them, and sheds requests of the
// workspace that exceeds its share the most.
package queuer

import (
	"time"
)

// urgencyFactor is the weight of waiting time at one urgency level relative to the level below.
// Within a workspace, the request with the largest weighted waiting time starts first, so that less
// urgent requests wait longer but never starve.
const urgencyFactor = 4

// UrgencyLevels is the number of urgency levels. Higher levels are more urgent.
const UrgencyLevels = 3

// Key identifies one queue: the requests of a workspace for a pool.
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

// Limits are the maximum number and total size of the waiting requests of one router.
type Limits struct {
	Requests int
	Bytes    int
}

// queue holds the waiting requests of one Key, by urgency level and in order of arrival.
type queue struct {
	byUrgency [UrgencyLevels][]*Item
	count     int
}

// usage is the number and total size of waiting requests.
type usage struct {
	requests int
	bytes    int
}

// Queuer holds all queues of a router. Weight must be set. It is not safe for concurrent use.
type Queuer struct {
	Limits Limits
	// Weight returns the weight of a workspace.
	Weight func(workspace uint32) float64

	queues           map[Key]*queue
	usageByWorkspace map[uint32]usage
	totalUsage       usage
}

// Head describes a queue. All fields but Count describe the request that starts next.
type Head struct {
	// Count is the number of waiting requests.
	Count   int
	Urgency uint8
	Arrived time.Time
	Cost    float64
}

// Push adds a request and returns the requests that are shed because the limits are exceeded. They
// may include the added one.
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

// updateUsage adds a request to the usage if sign is 1, and subtracts it if sign is -1.
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

// selectVictim returns the request to shed: the newest of the least urgent requests of the
// workspace that, for its weight, uses most of the exceeded limit. That workspace is above its
// share, because the limit cannot be exceeded while all workspaces are within theirs.
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

// shedBefore reports whether a is shed before b.
func shedBefore(a, b *Item) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.After(b.Arrived)
	}
	return a.ID > b.ID
}

// PriorityScore returns the waiting time of a request weighted by its urgency. Requests of the same
// workspace start in descending order of their scores, also across routers.
func PriorityScore(urgency uint8, waited time.Duration) float64 {
	score := float64(waited + time.Millisecond)
	for range min(urgency, UrgencyLevels-1) {
		score *= urgencyFactor
	}
	return score
}

// next returns the request that starts next, without removing it.
func (q *queue) next(now time.Time) *Item {
	var best *Item
	bestScore := -1.0
	for level := UrgencyLevels - 1; level >= 0; level-- {
		if len(q.byUrgency[level]) == 0 {
			continue
		}
		it := q.byUrgency[level][0]
		if score := PriorityScore(it.Urgency, now.Sub(it.Arrived)); score > bestScore {
			best, bestScore = it, score
		}
	}
	return best
}

// Pop removes and returns the request that starts next, or nil if the queue is empty.
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

// Head describes a queue. The Count of an empty queue is 0.
func (q *Queuer) Head(now time.Time, k Key) Head {
	queue := q.queues[k]
	if queue == nil {
		return Head{}
	}
	it := queue.next(now)
	return Head{Count: queue.count, Urgency: it.Urgency, Arrived: it.Arrived, Cost: it.Cost}
}

// CountAhead returns the number of requests of the queue that are at least as urgent.
func (q *Queuer) CountAhead(k Key, urgency uint8) int {
	queue := q.queues[k]
	if queue == nil {
		return 0
	}
	n := 0
	for level := min(urgency, UrgencyLevels-1); level < UrgencyLevels; level++ {
		n += len(queue.byUrgency[level])
	}
	return n
}

// Remove removes a request and reports whether it was still waiting.
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

// Keys returns the keys of the queues that are not empty.
func (q *Queuer) Keys() []Key {
	keys := make([]Key, 0, len(q.queues))
	for k := range q.queues {
		keys = append(keys, k)
	}
	return keys
}

// Len returns the number of waiting requests and their total size in bytes.
func (q *Queuer) Len() (requests, bytes int) { return q.totalUsage.requests, q.totalUsage.bytes }
