// Package hedger decides about hedges: second attempts of requests whose answer is later than usual. It learns the
// delay after which one starts from recent answers, limits the extra work, and keeps hedges away while a service
// is short of room. It does no I/O; time and events are arguments.
package hedger

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// timesHalfLife is the half-life of recorded times. 30 samples remain at one request a second, and a service that
	// has become fast again has a short delay within a minute and a half.
	timesHalfLife = 20 * time.Second
	// workHalfLife bounds the burst of hedges to what about 14 seconds of work earn.
	workHalfLife = 10 * time.Second
	// largestHalfLife lets a service save up for a hedge of a long prompt for some minutes.
	largestHalfLife = 2 * time.Minute
	// minSamples is the number of recent times below which a kind of request has no usual time.
	minSamples = 30
	// tailSamples is the number of recent times that must be longer than the delay, as a quantile beyond
	// the samples is only their maximum.
	tailSamples = 3
	// minTail and maxTail bound the fraction of attempts that are late.
	minTail = 0.01
	maxTail = 0.1
	// minDelay is the shortest delay. Shorter times vary with the router's own processor share.
	minDelay = 20 * time.Millisecond
	// planPeriod bounds how often the delay of a kind of request is computed.
	planPeriod = 100 * time.Millisecond
	// maxPromptWait is the longest wait for a slot that counts as none: a round trip to an owner in another zone, and
	// the time until both routers are scheduled.
	maxPromptWait = 50 * time.Millisecond
	// maxWaitedFraction is the fraction of recent requests that waited from which a service is short of room.
	maxWaitedFraction = 0.1
	// ShortageTime is how long no hedge starts after a request was refused for lack of room, and NoRoomTime after a
	// hedge was.
	ShortageTime = 2 * time.Second
	NoRoomTime   = 500 * time.Millisecond
	// logPeriod bounds the log lines about refused hedges to one for each service and reason.
	logPeriod = time.Second
	// maxServices and maxKinds bound the memory. The one that was not used for the longest time is dropped.
	maxServices = 64
	maxKinds    = 128
)

// Reason says why a request is not hedged.
type Reason string

// Reasons of this package. The caller adds others.
const (
	// ReasonFewSamples: too few recent answers are known to tell which one is late.
	ReasonFewSamples Reason = "few-samples"
	// ReasonWaited: the first attempt waited for its slot.
	ReasonWaited Reason = "waited"
	// ReasonShortOfRoom: recent requests for the service were refused or waited.
	ReasonShortOfRoom Reason = "short-of-room"
	// ReasonBudget: the extra work would exceed the limit.
	ReasonBudget Reason = "budget"
)

// Key is a kind of request whose answers take similar times.
type Key struct {
	Service, Route string
	// Size is the SizeClass of the prompt.
	Size int
}

// SizeClass returns the class of a prompt's size. Each is four times as large as the one before.
func SizeClass(promptTokens int) int {
	const smallest = 512
	return (bits.Len(uint(max(0, promptTokens)/smallest)) + 1) / 2
}

// Plan says when an answer is late.
type Plan struct {
	// Delay is the time after which a hedge starts.
	Delay time.Duration
	// Typical is the median time of an answer.
	Typical time.Duration
}

// Hedger decides about the hedges of one router. Percent must be set before use. Its methods are safe for
// concurrent use.
type Hedger struct {
	// Percent limits the work of hedges, in percent of the work for a service.
	Percent float64

	mu       sync.Mutex
	services map[string]*serviceState
	kinds    map[Key]*kindState
}

type kindState struct {
	usedAt time.Time
	times  latencies
	// plan was computed at plannedAt.
	plan      Plan
	plannedAt time.Time
}

type serviceState struct {
	usedAt time.Time
	budget budget
	// starts and waited are the recent requests, and those of them that waited for a slot. Both decay.
	starts, waited float64
	startsAt       time.Time
	shortUntil     time.Time
	// before are the times that first attempts take, and after those until callers have an answer.
	before, after latencies
	counts        Counts
	logged        map[Reason]*refusalLog
}

type refusalLog struct {
	loggedAt time.Time
	unlogged int
}

// makeRoom deletes the entry that was not used for the longest time if a map is full.
func makeRoom[K comparable, V any](m map[K]V, limit int, usedAt func(V) time.Time) {
	if len(m) < limit {
		return
	}
	var oldest K
	var at time.Time
	for k, v := range m {
		if at.IsZero() || usedAt(v).Before(at) {
			oldest, at = k, usedAt(v)
		}
	}
	delete(m, oldest)
}

func (h *Hedger) service(now time.Time, name string) *serviceState {
	s := h.services[name]
	if s == nil {
		if h.services == nil {
			h.services = map[string]*serviceState{}
		}
		makeRoom(h.services, maxServices, func(s *serviceState) time.Time { return s.usedAt })
		s = &serviceState{budget: budget{fraction: h.Percent / 100}, logged: map[Reason]*refusalLog{}}
		h.services[name] = s
	}
	s.usedAt = now
	return s
}

func (h *Hedger) kind(now time.Time, key Key) *kindState {
	k := h.kinds[key]
	if k == nil {
		if h.kinds == nil {
			h.kinds = map[Key]*kindState{}
		}
		makeRoom(h.kinds, maxKinds, func(k *kindState) time.Time { return k.usedAt })
		k = &kindState{}
		h.kinds[key] = k
	}
	k.usedAt = now
	return k
}

// RecordStart counts the first attempt of a request: its work, and how long it waited for its slot.
func (h *Hedger) RecordStart(now time.Time, service string, work float64, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(now, service)
	s.budget.add(now, work)
	s.counts.Work += work
	s.decayStarts(now)
	s.starts++
	if wait > maxPromptWait {
		s.waited++
	}
}

func (s *serviceState) decayStarts(now time.Time) {
	if !s.startsAt.IsZero() {
		factor := halvings(now.Sub(s.startsAt), workHalfLife)
		s.starts *= factor
		s.waited *= factor
	}
	s.startsAt = now
}

// RecordTime records how long the first attempt of a request took until its answer began, or that it would have taken
// longer than d if it was canceled. Hedges are not recorded: only the fast ones of them are seen.
func (h *Hedger) RecordTime(now time.Time, key Key, d time.Duration, canceled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kind(now, key).times.add(now, d, canceled)
	h.service(now, key.Service).before.add(now, d, canceled)
}

// RecordAnswer records the time from the first attempt of a request until an answer began, of whichever attempt.
func (h *Hedger) RecordAnswer(now time.Time, service string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(now, service).after.add(now, d, false)
}

// Plan returns after which time a request that has just started, and waited for its slot, is to be hedged, or why
// it is not.
func (h *Hedger) Plan(now time.Time, key Key, wait time.Duration) (Plan, Reason) {
	if wait > maxPromptWait {
		return Plan{}, ReasonWaited
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.kind(now, key)
	k.times.decay(now)
	n := k.times.total
	if n < minSamples {
		return Plan{}, ReasonFewSamples
	}
	if k.plannedAt.IsZero() || now.Sub(k.plannedAt) >= planPeriod {
		// The later the hedges start, the better the work is spent: on as many requests as the limit allows.
		tail := min(maxTail, max(minTail, h.Percent/100, tailSamples/n))
		k.plan = Plan{Delay: max(minDelay, k.times.quantile(1-tail)), Typical: k.times.quantile(0.5)}
		k.plannedAt = now
	}
	return k.plan, ""
}

// RecordShortage notes that a request for a service got no room, so that no hedge starts for some time.
func (h *Hedger) RecordShortage(now time.Time, service string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(now, service)
	if until := now.Add(d); until.After(s.shortUntil) {
		s.shortUntil = until
	}
}

// Check returns why a hedge may not start now, or "". It counts nothing.
func (h *Hedger) Check(now time.Time, service string, work float64) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(now, service).check(now, work)
}

func (s *serviceState) check(now time.Time, work float64) Reason {
	s.decayStarts(now)
	switch {
	case now.Before(s.shortUntil), s.waited > maxWaitedFraction*s.starts && s.waited >= 1:
		return ReasonShortOfRoom
	case !s.budget.allows(now, work):
		return ReasonBudget
	}
	return ""
}

// Start returns the same as Check, and counts the work of the hedge if it may start.
func (h *Hedger) Start(now time.Time, service string, work float64) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(now, service)
	reason := s.check(now, work)
	if reason == "" {
		s.budget.earned -= work
		s.counts.HedgeWork += work
		s.counts.Started++
	}
	return reason
}

// Withdraw takes back a Start whose hedge was not sent.
func (h *Hedger) Withdraw(now time.Time, service string, work float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(now, service)
	s.budget.earned += work
	s.counts.HedgeWork -= work
	s.counts.Started--
}
