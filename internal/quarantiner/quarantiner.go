// Package quarantiner decides which requests are kept from servers because they crash them: those with a
// part of a prompt that does, and single requests that callers repeat. Evidence is a server that ended while
// it held requests whose answers had not begun; routers gossip it and reach the same verdicts by themselves.
// An answer clears its request and all parts of its prompt, as what crashes servers crashes each of them.
//
// The package does no I/O. Times are readings of the boot clock.
package quarantiner

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashes is the number of servers that must have ended under a part before requests
	// with it are refused, and minBegunCrashes the same if the answers had begun. Few sound
	// answers are cut between their header and their first events.
	minCrashes      = 3
	minBegunCrashes = 2
	// minCrashesIfAnswered is the same for a part that was answered before: it crashes servers only
	// if they have changed since.
	minCrashesIfAnswered = 5
	// settleTime is how long after a server ended it does not count yet. Until then, routers report the
	// other prompts that it held.
	settleTime = 200 * time.Millisecond
	// minCrashInterval is the time within which several servers that end count once. A failure that
	// they share ends them at the same moment.
	minCrashInterval = 300 * time.Millisecond
	// minRestartTime is the shortest time in which a server that ended starts again. An answer to a request that was
	// sent later may come from the next incarnation, which routers do not know yet.
	minRestartTime = 250 * time.Millisecond
	// suspicionTTL is how long the end of a server counts against a part that is not quarantined.
	suspicionTTL = 10 * time.Minute
	// contentSuspicionTTL is the same for the content of a request. Callers repeat requests soon, and all requests
	// that a server holds when it ends leave such evidence.
	contentSuspicionTTL = 2 * time.Minute
	// minQuarantine is how long a part with the fewest crashes is quarantined. It doubles with each
	// further crash, up to maxQuarantine.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 2 * time.Hour
	// testTimeout is how long a request that tests a part whose quarantine time is over may take.
	testTimeout = time.Minute
	// clearedTTL is how long cleared evidence is remembered, so that older gossip does not restore
	// it.
	clearedTTL = time.Minute
	// maxRecords limits the parts that are remembered, and maxRecordsPerWorkspace those whose first
	// evidence is of one workspace.
	maxRecords             = 256
	maxRecordsPerWorkspace = 64
	// maxCrashesPerPart limits the evidence that is kept about one part.
	maxCrashesPerPart = 8
	// maxWorkspacesPerCrash limits the workspaces that are kept with one piece of evidence: two show
	// that it is not of one workspace alone.
	maxWorkspacesPerCrash = 2
)

// PartKey identifies a part of the prompts for one model of a service.
func PartKey(service, model, part string) uint64 {
	return xxhash.Sum64String(service + "\x00" + model + "\x00" + part)
}

// WorkspaceKey identifies a workspace.
func WorkspaceKey(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// ServerKey identifies an incarnation of a server.
func ServerKey(id string, startedUnixMilli int64) uint64 {
	return xxhash.Sum64String(id + "\x00" + strconv.FormatInt(startedUnixMilli, 10))
}

// Release identifies what a server runs: its service, and its software and weights.
type Release struct {
	Service uint64
	Version uint64
}

// NewRelease returns the release of a server.
func NewRelease(service, version string) Release {
	return Release{Service: xxhash.Sum64String(service), Version: xxhash.Sum64String(version)}
}

// Request identifies what a request asks for.
type Request struct {
	Workspace uint64
	// Parts are the keys of all parts of its prompt but the last, in order. The last one is its own. A request
	// to a plain service has none.
	Parts []uint64
	// Content is the key of all that it asks for, which it shares only with its repetitions, or 0 if unknown.
	Content uint64
}

// ContentKey identifies the content of a request to a service, whose parts are given one after the other.
func ContentKey(service string, content ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest never fails.
	_, _ = d.WriteString(service)
	for _, b := range content {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(b)))
		_, _ = d.Write(size[:])
		_, _ = d.Write(b)
	}
	return max(1, d.Sum64())
}

// contentDepth is the depth of the evidence against the content of a request. It is more than that of any part,
// since fewer requests share it.
const contentDepth = maxDepth

// keys returns the keys of what may have crashed a server, with their depths.
func (r Request) keys() iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		for depth, part := range r.Parts {
			if !yield(min(depth, contentDepth-1), part) {
				return
			}
		}
		if r.Content != 0 {
			yield(contentDepth, r.Content)
		}
	}
}

// has reports whether a key is one of the request's.
func (r Request) has(key uint64) bool {
	return r.Content != 0 && key == r.Content || slices.Contains(r.Parts, key)
}

// LostRequest is a request whose answer had not arrived when its server ended.
type LostRequest struct {
	Request
	// SentAt is when it was sent.
	SentAt time.Duration
	// Begun says that the header or a first event of its answer had arrived.
	Begun bool
}

// crash is the end of one server as evidence against one part.
type crash struct {
	// at is when the server ended, or when this router first heard of it.
	at time.Duration
	// release is the software and the weights of the server.
	release Release
	// workspaces are the workspaces of the prompts, sorted.
	workspaces []uint64
	begun      bool
	// cleared says that the part was answered, or the server did not end.
	cleared bool
}

// record is the evidence against one part.
type record struct {
	// depth is the position of the part in its prompt. A later part is shared by fewer prompts.
	depth int
	// crashes are keyed by the incarnation of the server that ended.
	crashes map[uint64]*crash
	// answered says that a prompt with the part was answered before a server ended under it.
	answered bool
	// clearedAt is when the part was last cleared, or 0.
	clearedAt time.Duration
	// announceUntil is until when cleared evidence is sent to peers that may not know of it.
	announceUntil time.Duration
	// testUntil is until when no further request may test the part.
	testUntil time.Duration
}

// Verdict says that requests with a part, or with the same content, are kept from servers.
type Verdict struct {
	// Part is the key of the part or of the content.
	Part uint64
	// Content says that it is the key of a content.
	Content bool
	// Workspace is the only workspace whose requests are refused, or 0 if all are. Evidence of one
	// workspace alone does not affect others.
	Workspace uint64
	// Crashes is the number of servers that count against the part.
	Crashes int
	// Until is when a request may test the part again.
	Until time.Duration
}

// decisions is an immutable snapshot that requests read.
type decisions struct {
	verdicts map[uint64]Verdict
	// suspects are the parts with evidence that is not cleared, with the servers that ended.
	suspects map[uint64][]uint64
	// ended are the servers that ended.
	ended map[uint64]bool
}

// Quarantiner holds the evidence and the verdicts. The zero value is ready to use.
type Quarantiner struct {
	// MayTest reports whether this router is the one that tests a part whose quarantine time is over.
	// If nil, it is.
	MayTest func(part uint64) bool
	// OnChange, if set, is called for each new verdict and each one that ended. It must not call
	// the quarantiner.
	OnChange func(v Verdict, quarantined bool)

	mu      sync.Mutex
	records map[uint64]*record
	peers   map[string]*peerState
	// version changes with the evidence.
	version uint64
	// settledAt is when all crashes count, or 0 if they do.
	settledAt time.Duration
	// expireAt is when expired evidence is removed next.
	expireAt time.Duration
	answered recentParts
	// running are the releases of the servers that are listed now, by service.
	running map[uint64][]uint64
	current atomic.Pointer[decisions]
}

func (q *Quarantiner) decisions() *decisions {
	if d := q.current.Load(); d != nil {
		return d
	}
	return &decisions{}
}

// ReportCrash records that a server ended while it held prompts whose answers had not arrived.
func (q *Quarantiner) ReportCrash(now time.Duration, server uint64, release Release, lost []LostRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range lost {
		for depth, part := range p.keys() {
			q.add(part, depth, q.incarnationAt(part, server, p.SentAt), &crash{at: now, release: release, workspaces: []uint64{p.Workspace}, begun: p.Begun})
		}
	}
	q.update(now)
}

// incarnationAt returns the key of the incarnation of a server that a request was sent to: after one has ended, routers know the
// next one under the same key until they learn of its start. The lock must be held.
func (q *Quarantiner) incarnationAt(part, server uint64, sentAt time.Duration) uint64 {
	r := q.records[part]
	for range maxCrashesPerPart {
		if r == nil || r.crashes[server] == nil || sentAt < r.crashes[server].at+minRestartTime {
			break
		}
		server = nextIncarnation(server)
	}
	return server
}

// nextIncarnation returns the key of the unknown incarnation that follows one that ended.
func nextIncarnation(server uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, server))
}

// SetReleases sets the releases of the servers that are listed now. A part that crashed only servers
// of other releases may be tested at once.
func (q *Quarantiner) SetReleases(now time.Duration, releases []Release) {
	running := map[uint64][]uint64{}
	for _, r := range releases {
		if !slices.Contains(running[r.Service], r.Version) {
			running[r.Service] = append(running[r.Service], r.Version)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = running
	if len(q.records) > 0 {
		q.update(now)
	}
}

// add merges evidence into the record of a part. It reports whether cleared evidence was received as
// uncleared. The lock must be held.
func (q *Quarantiner) add(part uint64, depth int, server uint64, c *crash) (outdated bool) {
	if q.records == nil {
		q.records = map[uint64]*record{}
	}
	r := q.records[part]
	if r == nil {
		r = &record{depth: depth, crashes: map[uint64]*crash{}, answered: q.answered.contains(part)}
		q.records[part] = r
	}
	if depth > r.depth {
		r.depth = depth
		q.version++
	}
	known := r.crashes[server]
	if known == nil {
		r.crashes[server] = c
		if len(r.crashes) > maxCrashesPerPart {
			r.dropOldest()
		}
		if r.crashes[server] != nil {
			// A test that ended a server is over once that counts.
			r.testUntil = min(r.testUntil, c.at+2*settleTime)
			q.version++
		}
		return false
	}
	workspaces := mergeWorkspaces(known.workspaces, c.workspaces)
	if c.begun && !known.begun || c.cleared && !known.cleared || !slices.Equal(workspaces, known.workspaces) {
		q.version++
	}
	known.at = min(known.at, c.at)
	known.begun = known.begun || c.begun
	known.workspaces = workspaces
	outdated = known.cleared && !c.cleared
	known.cleared = known.cleared || c.cleared
	return outdated
}

// dropOldest removes the oldest evidence, cleared evidence first.
func (r *record) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(r.crashes)), func(a, b uint64) int {
		x, y := r.crashes[a], r.crashes[b]
		return cmp.Or(compareBool(y.cleared, x.cleared), cmp.Compare(x.at, y.at), cmp.Compare(a, b))
	})
	delete(r.crashes, oldest)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func mergeWorkspaces(a, b []uint64) []uint64 {
	out := slices.Compact(slices.Sorted(slices.Values(append(slices.Clip(a), b...))))
	return out[:min(len(out), maxWorkspacesPerCrash)]
}

// ReportAnswer records that a server answered a request that was sent at sentAt. It clears the request and the
// parts of its prompt, and the server if it was said to have ended before but cannot have started again.
func (q *Quarantiner) ReportAnswer(now time.Duration, server uint64, sentAt time.Duration, req Request) {
	q.answered.add(req.Parts)
	d := q.decisions()
	if len(d.suspects) == 0 {
		return
	}
	suspected := d.ended[server]
	for _, key := range req.keys() {
		_, ok := d.suspects[key]
		suspected = suspected || ok
	}
	if !suspected {
		return
	}
	incarnations := make([]uint64, 0, maxCrashesPerPart)
	for key := server; len(incarnations) < maxCrashesPerPart; key = nextIncarnation(key) {
		incarnations = append(incarnations, key)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for part, r := range q.records {
		answered := req.has(part)
		for other, c := range r.crashes {
			if !c.cleared && (answered || slices.Contains(incarnations, other) && sentAt < c.at+minRestartTime) {
				c.cleared = true
				r.announceUntil = now + announceTime
				q.version++
			}
		}
	}
	q.update(now)
}

// Check reports whether a request must not be sent to servers, and because of which verdict. It permits a
// test of one whose quarantine time is over to one request at a time; test is then true.
func (q *Quarantiner) Check(now time.Duration, req Request) (v Verdict, refused, test bool) {
	d := q.decisions()
	if len(d.verdicts) == 0 {
		return Verdict{}, false, false
	}
	for _, part := range req.keys() {
		v, ok := d.verdicts[part]
		if !ok || v.Workspace != 0 && v.Workspace != req.Workspace {
			continue
		}
		if now < v.Until || !q.startTest(now, part) {
			return v, true, false
		}
		test = true
	}
	return Verdict{}, false, test
}

// startTest reports whether a request may test a part now.
func (q *Quarantiner) startTest(now time.Duration, part uint64) bool {
	if q.MayTest != nil && !q.MayTest(part) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[part]
	if r == nil || now < r.testUntil {
		return false
	}
	r.testUntil = now + testTimeout
	return true
}

// IsSuspect reports whether another server than the given one ended under the request or a part of its prompt.
func (q *Quarantiner) IsSuspect(server uint64, req Request) bool {
	d := q.decisions()
	for _, key := range req.keys() {
		if slices.ContainsFunc(d.suspects[key], func(other uint64) bool { return other != server }) {
			return true
		}
	}
	return false
}

// Verdicts returns the verdicts in force, by part.
func (q *Quarantiner) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(q.decisions().verdicts), func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
}
