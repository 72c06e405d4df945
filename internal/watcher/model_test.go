package watcher

import (
	"errors"
	"fmt"
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
	// version and confirmationAge are the answer's. confirmationAge is negative if the peer
	// has no confirmation.
	version         uint64
	confirmationAge time.Duration
}

// modelState is one state of the model.
type modelState struct {
	now       time.Duration
	version   uint64
	revokedAt time.Duration
	routers   [2]*Watcher
	// storeRequests and peerRequests are the pending requests of each router.
	storeRequests [2]*modelRequest
	peerRequests  [2]*modelRequest
}

func newModelState() *modelState {
	s := &modelState{now: time.Hour, version: 1}
	for i := range s.routers {
		s.routers[i] = &Watcher{
			ConfigKey: "config", Now: func() time.Duration { return s.now }, Log: func(string, ...any) {},
			DecodeCatalog: func(raw []byte) (*cataloger.Catalog, error) {
				v, err := strconv.ParseUint(string(raw), 10, 64)
				if err != nil || v == 0 {
					return nil, errors.New("missing version")
				}
				return cataloger.New(cataloger.Catalog{Version: v})
			},
		}
	}
	return s
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
	modelStepKinds
)

// apply applies an event at a router. It returns false if the event is not possible now.
func (s *modelState) apply(step, router int) bool {
	self, other := s.routers[router], s.routers[1-router]
	switch step {
	case stepTime:
		s.now += modelTick
		return router == 0
	case stepRevoke:
		if router == 1 || s.revokedAt != 0 {
			return false
		}
		s.version++
		s.revokedAt = s.now
	case stepQueryStore:
		if s.storeRequests[router] != nil {
			return false
		}
		s.storeRequests[router] = &modelRequest{sentAt: s.now}
	case stepStoreAnswers:
		q := s.storeRequests[router]
		if q == nil || q.answered {
			return false
		}
		q.answered, q.version = true, s.version
	case stepReceiveStoreAnswer:
		q := s.storeRequests[router]
		if q == nil || !q.answered {
			return false
		}
		if self.applyConfig(batch{rows: []Row{{Key: "config", Value: strconv.AppendUint(nil, q.version, 10)}}}) == answerConfirms {
			self.configState.confirm(q.sentAt)
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
	}
	return true
}

// accepts reports whether a router accepts the key now.
func (s *modelState) accepts(router int) bool {
	age, confirmed := s.routers[router].ConfigAge()
	return s.routers[router].ConfigVersion() == 1 && confirmed && age <= modelMaxConfirmationAge
}

// TestRevokedKeysAreRefused searches all orders of up to modelDepth events, starting with
// both routers knowing the first version. No order may let a router accept a revoked key
// after the revocation limit.
func TestRevokedKeysAreRefused(t *testing.T) {
	states, acceptingStates := 0, 0
	var search func(path []int)
	replay := func(path []int) *modelState {
		state := newModelState()
		for r := range state.routers {
			for _, step := range []int{stepQueryStore, stepStoreAnswers, stepReceiveStoreAnswer} {
				state.apply(step, r)
			}
		}
		for _, step := range path {
			if !state.apply(step/2, step%2) {
				return nil
			}
		}
		return state
	}
	search = func(path []int) {
		state := replay(path)
		if state == nil {
			return
		}
		states++
		for r := range state.routers {
			if !state.accepts(r) {
				continue
			}
			acceptingStates++
			if state.revokedAt != 0 && state.now-state.revokedAt > modelRevocationLimit {
				t.Fatalf("router %d accepts the key %v after its revocation: events %v",
					r, state.now-state.revokedAt, path)
			}
			if state.revokedAt != 0 && state.now-state.revokedAt > modelMaxConfirmationAge {
				t.Fatalf("router %d accepts the key with an outdated confirmation: events %v", r, path)
			}
		}
		if len(path) == modelDepth {
			return
		}
		for step := range modelStepKinds {
			for r := range 2 {
				search(append(path[:len(path):len(path)], step*2+r))
			}
		}
	}
	search(nil)
	if acceptingStates == 0 || states < 10_000 {
		t.Fatalf("the search is too small: %d states, %d of them accept the key", states, acceptingStates)
	}
	t.Log(fmt.Sprint(states, " states"))
}
