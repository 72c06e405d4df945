package queuer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// TestShedsFromHeaviestWorkspace pushes random requests beyond the limits and checks for each shed
// request that its workspace used at least as much for its weight as any other one, and that it was
// the newest of the workspace's least urgent requests.
func TestShedsFromHeaviestWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[uint32]float64{1: 1, 2: 4, 3: 0.5}
		q := &Queuer{Limits: Limits{Requests: 20, Bytes: 2000}, Weight: func(w uint32) float64 { return weights[w] }}
		waiting := map[uint64]*Item{}
		for i := range rapid.IntRange(1, 120).Draw(t, "requests") {
			it := &Item{
				ID:      uint64(i + 1),
				Key:     Key{Pool: rapid.Uint32Range(1, 2).Draw(t, "pool"), Workspace: rapid.Uint32Range(1, 3).Draw(t, "workspace")},
				Urgency: uint8(rapid.IntRange(0, 2).Draw(t, "urgency")),
				Arrived: startTime.Add(time.Duration(i) * time.Millisecond),
				Bytes:   rapid.IntRange(1, 150).Draw(t, "bytes"),
			}
			waiting[it.ID] = it
			for _, victim := range q.Push(it) {
				checkVictim(t, q, waiting, victim)
				delete(waiting, victim.ID)
			}
			if n, b := q.Len(); n > 20 || b > 2000 || n != len(waiting) {
				t.Fatalf("%d requests with %d bytes wait, want %d requests within the limits", n, b, len(waiting))
			}
		}
	})
}

func checkVictim(t *rapid.T, q *Queuer, waiting map[uint64]*Item, victim *Item) {
	requests, bytes := map[uint32]int{}, map[uint32]int{}
	total := 0
	for _, it := range waiting {
		requests[it.Key.Workspace]++
		bytes[it.Key.Workspace] += it.Bytes
		total += it.Bytes
	}
	use := func(workspace uint32) float64 {
		if total > q.Limits.Bytes {
			return float64(bytes[workspace]) / q.Weight(workspace)
		}
		return float64(requests[workspace]) / q.Weight(workspace)
	}
	for workspace := range requests {
		if use(workspace) > use(victim.Key.Workspace) {
			t.Fatalf("a request of workspace %d with usage %v was shed, but workspace %d uses %v", victim.Key.Workspace, use(victim.Key.Workspace), workspace, use(workspace))
		}
	}
	for _, it := range waiting {
		if it.Key.Workspace == victim.Key.Workspace && it != victim && shedBefore(it, victim) {
			t.Fatalf("request %d was shed before request %d", victim.ID, it.ID)
		}
	}
}

// TestLeastUrgentNeverStarves fills a queue with the most urgent requests and checks that a request
// of the lowest urgency still starts.
func TestLeastUrgentNeverStarves(t *testing.T) {
	c := qt.New(t)
	q := &Queuer{Limits: Limits{Requests: 1000, Bytes: 1000}, Weight: func(uint32) float64 { return 1 }}
	k := Key{Pool: 1, Workspace: 1}
	now := startTime
	q.Push(&Item{ID: 1, Key: k, Urgency: 0, Arrived: now})
	for i := range 200 {
		q.Push(&Item{ID: uint64(i + 2), Key: k, Urgency: 2, Arrived: now})
	}
	for i := range 4000 {
		now = now.Add(100 * time.Millisecond)
		q.Push(&Item{ID: uint64(i + 1000), Key: k, Urgency: 2, Arrived: now})
		if it := q.Pop(now, k); it.ID == 1 {
			// Each urgent request waits 20 s, since 200 of them wait and 10 start per second. A
			// request two levels below waits 16 times as long.
			c.Assert(i, qt.Equals, 3200)
			return
		}
	}
	c.Fatal("the least urgent request never started")
}

// TestExpireRemovesPastDeadline checks that Expire removes exactly the requests whose deadline has
// passed.
func TestExpireRemovesPastDeadline(t *testing.T) {
	c := qt.New(t)
	q := &Queuer{Limits: Limits{Requests: 10, Bytes: 10}, Weight: func(uint32) float64 { return 1 }}
	k := Key{Pool: 1, Workspace: 1}
	for i := range 4 {
		q.Push(&Item{ID: uint64(i), Key: k, Arrived: startTime, Deadline: startTime.Add(time.Duration(i) * time.Second)})
	}
	c.Assert(q.Expire(startTime.Add(time.Second)), qt.HasLen, 2)
	c.Assert(q.Head(startTime, k).Count, qt.Equals, 2)
	c.Assert(q.Remove(k, 3), qt.IsTrue)
	c.Assert(q.Remove(k, 3), qt.IsFalse)
}
