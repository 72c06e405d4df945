package watcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"papayapaddle/internal/cataloger"
)

// The exhaustive search below runs all orders of events at two routers and the store while
// an API key is revoked. The routers are real Watchers. The messages are those of package
// conductor, where building a message and processing it are separate events.
const (
	modelDepth = 7
	// restoreDepth is the number of events that are searched after the store was restored.
	restoreDepth = 5
	// modelTick is the time of one clock event. Keys are rejected once the confirmation is
	// older than modelMaxConfirmationAge. A revoked key must be rejected
	// modelRevocationLimit after the revocation at the latest.
	modelTick               = time.Second
	modelMaxConfirmationAge = 2 * modelTick
	modelRevocationLimit    = 3 * modelTick
)

// modelRequest is a pending request to the store or to the peer.
type modelRequest struct {
	sentAt   time.Duration
	answered bool
	// batch is the store's answer; gone says that it does not have the history.
	batch batch
	gone  bool
	// version and confirmationAge are the peer's answer. confirmationAge is negative if the peer
	// has no confirmation.
	version         uint64
	confirmationAge time.Duration
}

// modelStore is the store's content: the configuration's version, the version of its row, and the era that was
// settled last.
type modelStore struct {
	position   Position
	config     uint64
	rowVersion uint64
	settled    uint64
}

// write writes a configuration.
func (s *modelStore) write(config uint64) {
	s.position.Version++
	s.config, s.rowVersion = config, s.position.Version
}

// modelState is one state of the model.
type modelState struct {
	now       time.Duration
	store     modelStore
	revokedAt time.Duration
	// restoredAt is when the store was restored from a copy, and lost whether it has lost the revocation since.
	restoredAt time.Duration
	lost       bool
	routers    [2]*Watcher
	// storeRequests and peerRequests are the pending requests of each router.
	storeRequests [2]*modelRequest
	peerRequests  [2]*modelRequest
}

func newModelState() *modelState {
	s := &modelState{now: time.Hour}
	s.store.position.Era, s.store.settled = 1, 1
	s.store.write(1)
	// A row of another table, which the copy lacks.
	s.store.position.Version++
	for i := range s.routers {
		s.startRouter(i)
	}
	return s
}

// startRouter starts a new process of a router, which knows nothing.
func (s *modelState) startRouter(router int) {
	s.routers[router] = &Watcher{
		ConfigKey: "config", Now: func() time.Duration { return s.now }, Log: func(string, ...any) {},
		DecodeCatalog: func(raw []byte) (*cataloger.Catalog, error) {
			v, err := strconv.ParseUint(string(raw), 10, 64)
			if err != nil || v == 0 {
				return nil, errors.New("missing version")
			}
			return cataloger.New(cataloger.Catalog{Version: v})
		},
		ReadSettledEra: func(context.Context) (uint64, uint64, error) { return s.store.settled, s.store.position.Era, nil },
		OnSettled:      func(era uint64) { s.store.settled = era },
	}
	s.storeRequests[router], s.peerRequests[router] = nil, nil
}

// answer answers a read of the store.
func (s *modelState) answer(q *modelRequest) {
	q.answered = true
	from := q.batch.position
	q.batch.position = s.store.position
	if q.gone = !q.batch.fullTable && from.Version > s.store.position.Version; q.gone {
		return
	}
	if q.batch.fullTable || s.store.rowVersion > from.Version {
		q.batch.rows = []Row{{Key: "config", Value: strconv.AppendUint(nil, s.store.config, 10), Version: s.store.rowVersion}}
	}
}

// The events of the model. Those from stepQueryStore on exist for each router.
const (
	stepTime = iota
	stepRevoke
	stepQueryStore
	stepStoreAnswers
	stepReceiveStoreAnswer
	stepQueryPeer
	stepPeerAnswers
	stepReceivePeerAnswer
	stepResetConnections
	// The steps from here on occur only in the search with a restore.
	stepRestore
	stepRewrite
	stepRestart
	modelStepKinds
)

// apply applies an event at a router. It returns false if the event is not possible now.
func (s *modelState) apply(step, router int) bool {
	self, other := s.routers[router], s.routers[1-router]
	switch step {
	case stepTime:
		// The operators write again within rewriteTime.
		if router == 1 || s.lost && s.now+modelTick >= s.restoredAt+rewriteTime {
			return false
		}
		s.now += modelTick
	case stepRevoke:
		if router == 1 || s.revokedAt != 0 {
			return false
		}
		s.store.write(2)
		s.revokedAt = s.now
	case stepQueryStore:
		if s.storeRequests[router] != nil {
			return false
		}
		q := &modelRequest{sentAt: s.now, batch: self.newBatch(&self.configState)}
		q.batch.position = self.configState.next
		s.storeRequests[router] = q
	case stepStoreAnswers:
		q := s.storeRequests[router]
		if q == nil || q.answered {
			return false
		}
		s.answer(q)
	case stepReceiveStoreAnswer:
		q := s.storeRequests[router]
		if q == nil || !q.answered {
			return false
		}
		if q.gone {
			self.configState.loaded = false
		} else {
			if self.handleAnswer("configuration", &self.configState, q.batch, self.applyConfig) == answerUnproven {
				self.readSettledEra(context.Background())
			}
		}
		s.storeRequests[router] = nil
	case stepQueryPeer:
		if s.peerRequests[router] != nil {
			return false
		}
		s.peerRequests[router] = &modelRequest{sentAt: s.now}
	case stepPeerAnswers:
		q := s.peerRequests[router]
		if q == nil || q.answered {
			return false
		}
		age, ok := other.ConfigAge()
		if !ok {
			age = -1
		}
		q.answered, q.version, q.confirmationAge = true, other.ConfigVersion(), age
	case stepReceivePeerAnswer:
		q := s.peerRequests[router]
		if q == nil || !q.answered {
			return false
		}
		if q.version > self.ConfigVersion() {
			// The configuration is fetched together with its confirmation.
			if _, err := self.InstallConfig(strconv.AppendUint(nil, q.version, 10), "peer"); err != nil {
				return false
			}
		}
		if q.confirmationAge >= 0 {
			self.ConfirmConfig(q.version, q.sentAt-q.confirmationAge)
		}
		s.peerRequests[router] = nil
	case stepResetConnections:
		// The connections of the router are reset.
		if s.storeRequests[router] == nil && s.peerRequests[router] == nil {
			return false
		}
		s.storeRequests[router], s.peerRequests[router] = nil, nil
	case stepRestore:
		// The copy is from before the revocation.
		if router == 1 || s.revokedAt == 0 || s.restoredAt != 0 {
			return false
		}
		s.store = newModelState().store
		s.store.position = Position{Era: 2, Version: s.store.rowVersion}
		s.restoredAt, s.lost = s.now, true
	case stepRewrite:
		if router == 1 || !s.lost {
			return false
		}
		s.store.write(2)
		s.lost = false
	case stepRestart:
		s.startRouter(router)
	}
	return true
}

// accepts reports whether a router accepts the key now.
func (s *modelState) accepts(router int) bool {
	age, confirmed := s.routers[router].ConfigAge()
	return s.routers[router].ConfigVersion() == 1 && confirmed && age <= modelMaxConfirmationAge
}

// modelSearch searches all orders of up to depth events after those of prefix, which both routers begin with knowledge
// of the first version. No order may let a router accept a revoked key after the revocation limit.
type modelSearch struct {
	prefix []int
	depth  int
	// stepKinds is the number of kinds of steps.
	stepKinds               int
	states, acceptingStates int
}

func (m *modelSearch) replay(path []int) *modelState {
	state := newModelState()
	for r := range state.routers {
		// The first answer shows the era, and the second one confirms.
		for range 2 {
			for _, step := range []int{stepQueryStore, stepStoreAnswers, stepReceiveStoreAnswer} {
				state.apply(step, r)
			}
		}
	}
	for _, step := range append(m.prefix[:len(m.prefix):len(m.prefix)], path...) {
		if !state.apply(step/2, step%2) {
			return nil
		}
	}
	return state
}

func (m *modelSearch) run(t *testing.T, path []int) {
	state := m.replay(path)
	if state == nil {
		return
	}
	m.states++
	for r := range state.routers {
		if !state.accepts(r) {
			continue
		}
		m.acceptingStates++
		if state.revokedAt != 0 && state.now-state.revokedAt > modelRevocationLimit {
			t.Fatalf("router %d accepts the key %v after its revocation: events %v, %v",
				r, state.now-state.revokedAt, m.prefix, path)
		}
		if state.revokedAt != 0 && state.now-state.revokedAt > modelMaxConfirmationAge {
			t.Fatalf("router %d accepts the key with an outdated confirmation: events %v, %v", r, m.prefix, path)
		}
	}
	if len(path) == m.depth {
		return
	}
	for step := range m.stepKinds {
		for r := range 2 {
			m.run(t, append(path[:len(path):len(path)], step*2+r))
		}
	}
}

// TestRevokedKeysAreRefused searches all orders while the store keeps what it has acknowledged.
func TestRevokedKeysAreRefused(t *testing.T) {
	t.Parallel()
	m := modelSearch{depth: modelDepth, stepKinds: stepRestore}
	m.run(t, nil)
	if m.acceptingStates == 0 || m.states < 10_000 {
		t.Fatalf("the search is too small: %d states, %d of them accept the key", m.states, m.acceptingStates)
	}
	t.Log(fmt.Sprint(m.states, " states"))
}

// TestKeyRevokedBeforeRestoreIsRefused searches all orders after the revocation is lost: the operators write it again,
// and routers restart.
func TestKeyRevokedBeforeRestoreIsRefused(t *testing.T) {
	t.Parallel()
	revoke, restore, tick := stepRevoke*2, stepRestore*2, stepTime*2
	ask := func(router int) []int {
		return []int{stepQueryStore*2 + router, stepStoreAnswers*2 + router, stepReceiveStoreAnswer*2 + router}
	}
	for name, prefix := range map[string][]int{
		"nobody read the revocation":       {revoke, tick, restore},
		"one router read the revocation":   slices.Concat([]int{revoke}, ask(0), []int{tick, restore}),
		"the store was away for long":      {revoke, tick, tick, tick, restore},
		"a request was sent before":        {revoke, tick, stepQueryStore * 2, restore},
		"an answer was given before":       {stepQueryStore * 2, stepStoreAnswers * 2, revoke, tick, restore},
		"both routers start after restore": {revoke, tick, tick, restore, stepRestart * 2, stepRestart*2 + 1},
		"a router has read on":             slices.Concat([]int{revoke, tick, restore, stepRewrite * 2}, ask(0), []int{tick, tick}),
		"a router has read the copy":       slices.Concat([]int{revoke, tick, tick, restore, stepRestart * 2}, ask(0)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := modelSearch{prefix: prefix, depth: restoreDepth, stepKinds: modelStepKinds}
			m.run(t, nil)
			if m.states < 10_000 {
				t.Fatalf("the search is too small: %d states", m.states)
			}
			t.Log(fmt.Sprint(m.states, " states, ", m.acceptingStates, " accept the key"))
		})
	}
}
