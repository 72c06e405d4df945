package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspicion is the evidence against a part that no other part explains.
type suspicion struct {
	part     uint64
	depth    int
	answered bool
	// crashes and begun count the servers that ended, those at the same moment once.
	crashes, begun int
	servers        []uint64
	workspaces     []uint64
	last           time.Duration
	// replaced says that no listed server runs what the servers that ended did.
	replaced bool
}

func (c *suspicion) isSufficient() bool {
	if c.answered {
		return c.crashes >= minCrashesIfAnswered
	}
	return c.crashes >= minCrashes || c.begun >= minBegunCrashes
}

// quarantineTime returns how long the part is quarantined after its last crash.
func (c *suspicion) quarantineTime() time.Duration {
	d := minQuarantine
	for n := minBegunCrashes; n < c.crashes && d < maxQuarantine; n++ {
		d *= 2
	}
	return min(d, maxQuarantine)
}

// suspicionOf sums up the evidence of a record, without that of explained servers.
func (r *record) suspicionOf(part uint64, explained map[uint64]bool, running map[uint64][]uint64) suspicion {
	out := suspicion{part: part, depth: r.depth, answered: r.answered, replaced: true}
	var counted []*crash
	for server, c := range r.crashes {
		if c.cleared || explained[server] {
			continue
		}
		counted = append(counted, c)
		versions := running[c.release.Service]
		out.replaced = out.replaced && len(versions) > 0 && !slices.Contains(versions, c.release.Version)
		out.servers = append(out.servers, server)
		out.workspaces = mergeWorkspaces(out.workspaces, c.workspaces)
		out.last = max(out.last, c.at)
	}
	slices.Sort(out.servers)
	slices.SortFunc(counted, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	out.crashes = countApart(counted, func(*crash) bool { return true })
	out.begun = countApart(counted, func(c *crash) bool { return c.begun })
	return out
}

// countApart counts the crashes that match, sorted by time, with at least minCrashInterval between
// two that count.
func countApart(sorted []*crash, match func(*crash) bool) int {
	n := 0
	var last time.Duration
	for _, c := range sorted {
		if match(c) && (n == 0 || c.at-last >= minCrashInterval) {
			n++
			last = c.at
		}
	}
	return n
}

// findCulprits finds the fewest parts that explain the crashes: the part with the most evidence is
// quarantined, the servers that ended under it no longer count against others, and so on. Of parts with
// the same evidence the last of the prompt is quarantined, as it is shared by the fewest.
//
// Servers in unsettled have ended too recently to count.
func findCulprits(records map[uint64]*record, running map[uint64][]uint64, unsettled map[uint64]bool) map[uint64]Verdict {
	out := map[uint64]Verdict{}
	explained := maps.Clone(unsettled)
	for {
		var sufficient []*suspicion
		for part, r := range records {
			if _, done := out[part]; done {
				continue
			}
			if c := r.suspicionOf(part, explained, running); c.isSufficient() {
				sufficient = append(sufficient, &c)
			}
		}
		worst := worstSuspicions(sufficient)
		if len(worst) == 0 {
			addRepeatedRequests(out, records, running, unsettled)
			return out
		}
		for _, c := range worst {
			out[c.part] = c.verdict()
			for _, server := range c.servers {
				explained[server] = true
			}
		}
	}
}

// addRepeatedRequests adds the requests that minCrashes servers have ended under, whatever else explains that: no
// repetition was answered, and the next one may end another server.
func addRepeatedRequests(out map[uint64]Verdict, records map[uint64]*record, running map[uint64][]uint64, unsettled map[uint64]bool) {
	for key, r := range records {
		if _, done := out[key]; done || r.depth != contentDepth {
			continue
		}
		if c := r.suspicionOf(key, unsettled, running); c.crashes >= minCrashes {
			out[key] = c.verdict()
		}
	}
}

// worstSuspicions returns the suspicions that lead to the next verdicts: the worst one. If that is a request
// that was on the same servers as another one when they ended, either may have crashed them. Then neither is
// quarantined after minBegunCrashes, nor a part that they share, and both are after minCrashes.
func worstSuspicions(sufficient []*suspicion) []*suspicion {
	slices.SortFunc(sufficient, func(a, b *suspicion) int { return compareSuspicions(b, a) })
	for len(sufficient) > 0 {
		worst := sufficient[0]
		if worst.depth != contentDepth {
			return sufficient[:1]
		}
		var alike, others []*suspicion
		for _, c := range sufficient {
			sameServers := slices.Equal(c.servers, worst.servers)
			switch {
			case c.depth == contentDepth && sameServers:
				alike = append(alike, c)
			case !sameServers:
				others = append(others, c)
			}
		}
		if len(alike) == 1 || worst.crashes >= minCrashes {
			return alike
		}
		sufficient = others
	}
	return nil
}

func (c *suspicion) verdict() Verdict {
	v := Verdict{Part: c.part, Content: c.depth == contentDepth, Crashes: c.crashes, Until: c.last + c.quarantineTime()}
	if c.replaced {
		v.Until = 0
	}
	if len(c.workspaces) == 1 {
		v.Workspace = c.workspaces[0]
	}
	return v
}

func compareSuspicions(a, b *suspicion) int {
	return cmp.Or(
		compareBool(b.answered, a.answered), cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.begun, b.begun), cmp.Compare(a.depth, b.depth),
		cmp.Compare(a.part, b.part),
	)
}

// update removes what has expired and what exceeds the limits, and renews the decisions. The lock
// must be held.
func (q *Quarantiner) update(now time.Duration) {
	q.expire(now)
	q.evict()
	d := &decisions{verdicts: findCulprits(q.records, q.running, q.unsettled(now)), suspects: map[uint64][]uint64{}, ended: map[uint64]bool{}}
	for part, r := range q.records {
		for server, c := range r.crashes {
			if !c.cleared {
				d.suspects[part] = append(d.suspects[part], server)
				d.ended[server] = true
			}
		}
	}
	previous := q.decisions()
	q.current.Store(d)
	if q.OnChange == nil {
		return
	}
	for part, v := range d.verdicts {
		if _, ok := previous.verdicts[part]; !ok {
			q.OnChange(v, true)
		}
	}
	for part, v := range previous.verdicts {
		if _, ok := d.verdicts[part]; !ok {
			q.OnChange(v, false)
		}
	}
}

// unsettled returns the servers that have ended within settleTime, and sets when they count. A server
// that several routers saw end ended when the first of them did. The lock must be held.
func (q *Quarantiner) unsettled(now time.Duration) map[uint64]bool {
	endedAt := map[uint64]time.Duration{}
	for _, r := range q.records {
		for server, c := range r.crashes {
			if at, ok := endedAt[server]; !ok || c.at < at {
				endedAt[server] = c.at
			}
		}
	}
	out := map[uint64]bool{}
	q.settledAt = 0
	for server, at := range endedAt {
		if now-at < settleTime {
			out[server] = true
			q.settledAt = max(q.settledAt, at+settleTime)
		}
	}
	return out
}

// expire removes evidence that has expired. Evidence against a quarantined part lasts as long again as
// its quarantine time, during which a request may test the part. The lock must be held.
func (q *Quarantiner) expire(now time.Duration) {
	for part, r := range q.records {
		all := r.suspicionOf(part, nil, nil)
		switch {
		case all.crashes > 0:
			r.clearedAt = 0
		case r.clearedAt == 0:
			r.clearedAt = now
		}
		ttl := suspicionTTL
		if r.depth == contentDepth {
			ttl = contentSuspicionTTL
		}
		if all.isSufficient() {
			ttl = 2 * all.quarantineTime()
		}
		if all.crashes > 0 && now-all.last > ttl || all.crashes == 0 && now-r.clearedAt > clearedTTL {
			delete(q.records, part)
		}
	}
}

// evict removes the records with the least evidence, the oldest first, while there are more than the
// limits allow. The lock must be held.
func (q *Quarantiner) evict() {
	if len(q.records) <= maxRecordsPerWorkspace {
		return
	}
	perWorkspace := map[uint64]int{}
	kept := 0
	suspicions := make([]suspicion, 0, len(q.records))
	for part, r := range q.records {
		suspicions = append(suspicions, r.suspicionOf(part, nil, nil))
	}
	slices.SortFunc(suspicions, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.last, a.last), cmp.Compare(a.part, b.part))
	})
	for _, c := range suspicions {
		workspace := q.records[c.part].firstWorkspace()
		if kept >= maxRecords || perWorkspace[workspace] >= maxRecordsPerWorkspace {
			delete(q.records, c.part)
			continue
		}
		kept++
		perWorkspace[workspace]++
	}
}

// firstWorkspace returns the workspace that the record counts for.
func (r *record) firstWorkspace() uint64 {
	var first *crash
	for _, server := range slices.Sorted(maps.Keys(r.crashes)) {
		if c := r.crashes[server]; first == nil || c.at < first.at {
			first = c
		}
	}
	if first == nil || len(first.workspaces) == 0 {
		return 0
	}
	return first.workspaces[0]
}

// Tick lets evidence count that has settled, and removes what has expired. It must be called often
// compared with settleTime.
func (q *Quarantiner) Tick(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.settledAt > 0 || now >= q.expireAt {
		q.expireAt = now + expiryPeriod
		q.update(now)
	}
}

// expiryPeriod is how often expired evidence is removed.
const expiryPeriod = 10 * time.Second
