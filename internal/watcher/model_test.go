package watcher

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"papayapaddle/internal/cataloger"
)

// The exhaustive search below plays all orders of what may happen to two routers
// and the store while a key is taken away. The routers' beliefs are the real
// Watcher; the messages are those of conductor, each built and taken in at
// separate moments.
const (
	modelDepth = 7
	// modelStep is how far a step of time goes: with an age of 2 steps keys are
	// refused, and they must be out of force after 3.
	modelStep     = time.Second
	modelMaxAge   = 2 * modelStep
	modelOutAfter = 3 * modelStep
)

// question is a question on its way: to the store or to the peer.
type question struct {
	askedAt  time.Duration
	answered bool
	// version and ago are the answer's; ago is negative without proof.
	version uint64
	ago     time.Duration
}

// world is one state of the model.
type world struct {
	now       time.Duration
	version   uint64
	revokedAt time.Duration
	routers   [2]*Watcher
	// store and peer are the questions that each router has sent.
	store [2]*question
	peer  [2]*question
}

func newWorld() *world {
	w := &world{now: time.Hour, version: 1}
	for i := range w.routers {
		w.routers[i] = &Watcher{
			ConfigKey: "config", Now: func() time.Duration { return w.now }, Log: func(string, ...any) {},
			DecodeCatalog: func(raw []byte) (*cataloger.Catalog, error) {
				v, err := strconv.ParseUint(string(raw), 10, 64)
				if err != nil || v == 0 {
					return nil, errors.New("no version")
				}
				return cataloger.New(cataloger.Catalog{Version: v})
			},
		}
	}
	return w
}

// The steps of the model; those of a router exist for each.
const (
	stepTime = iota
	stepRevoke
	stepAskStore
	stepStoreAnswers
	stepTakeStore
	stepAskPeer
	stepPeerAnswers
	stepTakePeer
	stepLoseAll
	modelSteps
)

// do plays a step of router r; false says that it cannot happen now.
func (w *world) do(step, r int) bool {
	me, other := w.routers[r], w.routers[1-r]
	switch step {
	case stepTime:
		w.now += modelStep
		return r == 0
	case stepRevoke:
		if r == 1 || w.revokedAt != 0 {
			return false
		}
		w.version++
		w.revokedAt = w.now
	case stepAskStore:
		if w.store[r] != nil {
			return false
		}
		w.store[r] = &question{askedAt: w.now}
	case stepStoreAnswers:
		q := w.store[r]
		if q == nil || q.answered {
			return false
		}
		q.answered, q.version = true, w.version
	case stepTakeStore:
		q := w.store[r]
		if q == nil || !q.answered {
			return false
		}
		if me.onConfig(batch{rows: []Row{{Key: "config", Value: strconv.AppendUint(nil, q.version, 10)}}}) {
			me.config.prove(q.askedAt)
		}
		w.store[r] = nil
	case stepAskPeer:
		if w.peer[r] != nil {
			return false
		}
		w.peer[r] = &question{askedAt: w.now}
	case stepPeerAnswers:
		q := w.peer[r]
		if q == nil || q.answered {
			return false
		}
		age, ok := other.Age()
		if !ok {
			age = -1
		}
		q.answered, q.version, q.ago = true, other.Version(), age
	case stepTakePeer:
		q := w.peer[r]
		if q == nil || !q.answered {
			return false
		}
		if q.version > me.Version() {
			// The configuration is fetched together with its proof.
			if _, err := me.Install(strconv.AppendUint(nil, q.version, 10), "peer"); err != nil {
				return false
			}
		}
		if q.ago >= 0 {
			me.Prove(q.version, q.askedAt-q.ago)
		}
		w.peer[r] = nil
	case stepLoseAll:
		// Its connections are reset.
		if w.store[r] == nil && w.peer[r] == nil {
			return false
		}
		w.store[r], w.peer[r] = nil, nil
	}
	return true
}

// accepts says whether a router would accept the key now.
func (w *world) accepts(r int) bool {
	age, proven := w.routers[r].Age()
	return w.routers[r].Version() == 1 && proven && age <= modelMaxAge
}

// TestRevokedKeysGoOutOfForce searches all orders of modelDepth steps, after a
// start in which both routers know the first version.
func TestRevokedKeysGoOutOfForce(t *testing.T) {
	played, accepted := 0, 0
	var search func(path []int)
	play := func(path []int) *world {
		w := newWorld()
		for r := range w.routers {
			for _, s := range []int{stepAskStore, stepStoreAnswers, stepTakeStore} {
				w.do(s, r)
			}
		}
		for _, p := range path {
			if !w.do(p/2, p%2) {
				return nil
			}
		}
		return w
	}
	search = func(path []int) {
		w := play(path)
		if w == nil {
			return
		}
		played++
		for r := range w.routers {
			if !w.accepts(r) {
				continue
			}
			accepted++
			if w.revokedAt != 0 && w.now-w.revokedAt > modelOutAfter {
				t.Fatalf("router %d accepts the key %v after it was taken away: %v", r, w.now-w.revokedAt, path)
			}
			if w.revokedAt != 0 && w.now-w.revokedAt > modelMaxAge {
				t.Fatalf("router %d accepts the key on a proof that is too old: %v", r, path)
			}
		}
		if len(path) == modelDepth {
			return
		}
		for step := range modelSteps {
			for r := range 2 {
				search(append(path[:len(path):len(path)], step*2+r))
			}
		}
	}
	search(nil)
	if accepted == 0 || played < 10_000 {
		t.Fatalf("the search is too small: %d states, %d with the key in force", played, accepted)
	}
	t.Log(fmt.Sprint(played, " states"))
}
