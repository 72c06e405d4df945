package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGossipParts limits the parts in one message.
	maxGossipParts = 32
	// minResendInterval is the minimum interval between two messages with the same evidence to one
	// peer.
	minResendInterval = time.Second
	// announceTime is how long cleared evidence is sent after a peer was seen not to know of it.
	announceTime = 2 * time.Second
	// minCrashesKept is the number of servers that must have ended under a part that is not quarantined for its evidence to outlive
	// all routers. Under many sound parts one has.
	minCrashesKept = 2
	// maxKeptSuspects limits these parts.
	maxKeptSuspects = 8
	// maxDepth and maxAge limit what a peer may state.
	maxDepth = 1 << 10
	maxAge   = 2 * maxQuarantine
)

// Evidence is what a router knows about one part, as sent to peers.
type Evidence struct {
	Part  uint64
	Depth int
	// Answered says that a prompt with the part was answered before a server ended under it.
	Answered bool
	Crashes  []Crash
}

// Crash is the end of a server under a part, as sent to peers.
type Crash struct {
	// Server identifies the incarnation of the server.
	Server uint64
	// Age is the time since it ended.
	Age        time.Duration
	Release    Release
	Workspaces []uint64
	Begun      bool
	Cleared    bool
}

// peerState is what is known of a peer's evidence.
type peerState struct {
	// digest is that of the peer's last message.
	digest uint64
	// sentVersion is the version of the evidence that was sent last, at sentAt.
	sentVersion uint64
	sentAt      time.Duration
	sent        bool
}

// maxPeers limits the peers that are remembered. A fleet has hundreds of routers.
const maxPeers = 1024

// peer returns the state of a peer. The lock must be held.
func (q *Quarantiner) peer(name string) *peerState {
	if q.peers == nil {
		q.peers = map[string]*peerState{}
	}
	p := q.peers[name]
	if p == nil {
		if len(q.peers) >= maxPeers {
			clear(q.peers)
		}
		p = &peerState{}
		q.peers[name] = p
	}
	return p
}

// ForPeer returns the digest of this router's evidence for a gossip message, and the evidence if the
// peer's last digest differs.
func (q *Quarantiner) ForPeer(now time.Duration, peer string) (uint64, []Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	selected := q.selectParts(now)
	digest := q.digest(selected)
	p := q.peer(peer)
	if digest == p.digest || p.sent && p.sentVersion == q.version && now-p.sentAt < minResendInterval {
		return digest, nil
	}
	p.sent, p.sentVersion, p.sentAt = true, q.version, now
	return digest, q.evidence(now, selected)
}

// Export returns the evidence against the quarantined parts, to be kept.
func (q *Quarantiner) Export(now time.Duration) []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.evidence(now, q.selectKept(now, true))
}

// ExportSuspects returns the evidence to be kept against parts that are not quarantined but that minCrashesKept servers have ended
// under.
func (q *Quarantiner) ExportSuspects(now time.Duration) []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.evidence(now, q.selectKept(now, false))
}

// ExportDigest returns a number that differs for different evidence of Export and ExportSuspects, 0 if there is none.
func (q *Quarantiner) ExportDigest(now time.Duration) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.digest(append(q.selectKept(now, true), q.selectKept(now, false)...))
}

// selectKept returns the quarantined parts, or others with evidence to be kept. The lock must be held.
func (q *Quarantiner) selectKept(now time.Duration, quarantined bool) []suspicion {
	verdicts := q.decisions().verdicts
	kept := slices.DeleteFunc(q.selectParts(now), func(c suspicion) bool {
		_, ok := verdicts[c.part]
		return ok != quarantined || !quarantined && c.crashes < minCrashesKept
	})
	if !quarantined {
		kept = kept[:min(len(kept), maxKeptSuspects)]
	}
	return kept
}

// evidence returns the evidence against parts. The lock must be held.
func (q *Quarantiner) evidence(now time.Duration, parts []suspicion) []Evidence {
	var evidence []Evidence
	for _, c := range parts {
		r := q.records[c.part]
		e := Evidence{Part: c.part, Depth: r.depth, Answered: r.answered}
		for server, crash := range r.crashes {
			e.Crashes = append(e.Crashes, Crash{
				Server: server, Age: now - crash.at, Release: crash.release, Workspaces: crash.workspaces, Begun: crash.begun, Cleared: crash.cleared,
			})
		}
		evidence = append(evidence, e)
	}
	return evidence
}

// selectParts returns the parts for a gossip message: those with the most evidence, the newest first.
// The lock must be held.
func (q *Quarantiner) selectParts(now time.Duration) []suspicion {
	var out []suspicion
	for part, r := range q.records {
		if c := r.suspicionOf(part, nil, nil); c.crashes > 0 || now < r.announceUntil {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.last, a.last), cmp.Compare(a.part, b.part))
	})
	return out[:min(len(out), maxGossipParts)]
}

// digest returns a number that differs for different evidence, 0 if there is none. It leaves out
// cleared evidence, which routers forget at different times. The lock must be held.
func (q *Quarantiner) digest(parts []suspicion) uint64 {
	var sum uint64
	for _, p := range parts {
		for server, c := range q.records[p.part].crashes {
			if c.cleared {
				continue
			}
			var b []byte
			b = binary.LittleEndian.AppendUint64(b, p.part)
			b = binary.LittleEndian.AppendUint64(b, server)
			b = binary.LittleEndian.AppendUint64(b, uint64(q.records[p.part].depth))
			for _, w := range c.workspaces {
				b = binary.LittleEndian.AppendUint64(b, w)
			}
			for _, flag := range []bool{c.begun, q.records[p.part].answered} {
				if flag {
					b = append(b, 1)
				} else {
					b = append(b, 0)
				}
			}
			sum ^= xxhash.Sum64(b)
		}
	}
	return sum
}

// ApplyGossip merges what a peer sent.
func (q *Quarantiner) ApplyGossip(now time.Duration, peer string, digest uint64, evidence []Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if digest != 0 || len(q.records) > 0 {
		q.peer(peer).digest = digest
	}
	q.merge(now, evidence)
}

// Import merges evidence that was kept.
func (q *Quarantiner) Import(now time.Duration, evidence []Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merge(now, evidence)
}

// merge merges evidence from elsewhere. The lock must be held.
func (q *Quarantiner) merge(now time.Duration, evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	for _, e := range evidence[:min(len(evidence), maxGossipParts)] {
		outdated := false
		for _, c := range e.Crashes[:min(len(e.Crashes), maxCrashesPerPart)] {
			if c.Age < 0 || c.Age > maxAge || c.Cleared && q.records[e.Part] == nil {
				continue
			}
			if q.add(e.Part, min(max(e.Depth, 0), maxDepth), c.Server, &crash{
				at: now - c.Age, release: c.Release, workspaces: mergeWorkspaces(nil, c.Workspaces), begun: c.Begun, cleared: c.Cleared,
			}) {
				outdated = true
			}
		}
		if r := q.records[e.Part]; r != nil && e.Answered && !r.answered {
			r.answered = true
			q.version++
		}
		if outdated {
			q.records[e.Part].announceUntil = now + announceTime
			q.version++
		}
	}
	q.update(now)
}
