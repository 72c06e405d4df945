package conductor

import (
	"context"
	"time"

	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pauser"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
	"papayapaddle/platform"
)

const (
	// minListPeriod is the first period in which the list of routers is read from the store. It
	// doubles up to maxListPeriod, since a new router sends gossip to routers that it finds in
	// the list, and through them all others learn of it.
	minListPeriod = time.Second
	maxListPeriod = 30 * time.Second
	// listRetryDelay is the delay after a failed store call.
	listRetryDelay = 500 * time.Millisecond
	// minAgeAdvantage is by how much a peer's last confirmation must be more recent than that of
	// this router for the router to query the peer.
	minAgeAdvantage = 150 * time.Millisecond
	// firstStoreReadAge is the age of the last confirmation that the configuration is current
	// at which the first router by rank reads the store. Each further router waits longer by
	// storeReadAgeStep, up to maxStoreReadAge. One answer reaches all routers within two gossip
	// periods, so the step grows with the period. In a large fleet the reads at maxStoreReadAge
	// are spread over storeReadAgeSpread in case the first routers get no answer.
	firstStoreReadAge  = 300 * time.Millisecond
	storeReadAgeStep   = 150 * time.Millisecond
	maxStoreReadAge    = 1200 * time.Millisecond
	storeReadAgeSpread = 800 * time.Millisecond
	// maxBackoffStep is the increase per rank of the longest backoff after failed store calls,
	// up to backoffLimit. During an outage few routers poll the store; the others learn from
	// them that it is available again.
	maxBackoffStep = 100 * time.Millisecond
	backoffLimit   = 2 * time.Second
	// startListTimeout is how long a router that has just started waits for the list of
	// routers, which determines its rank, before it reads the other tables anyway.
	startListTimeout = 300 * time.Millisecond
	// referenceMaxAge is the maximum configuration age that the times above and below assume.
	// They are scaled down for a shorter one.
	referenceMaxAge = 3500 * time.Millisecond
	// gossipWithAllAge is the age of the last confirmation at which the router gossips with all
	// peers, to learn of a more recent one.
	gossipWithAllAge = 1500 * time.Millisecond
)

// gossipPeriod returns the period in which two routers exchange gossip.
func (n *node) gossipPeriod() time.Duration {
	return max(minGossipPeriod, time.Duration(n.membership.HubCount())*time.Second/(2*maxExchangesPerSecond))
}

// runGossip exchanges gossip with the peers until the context ends.
func (n *node) runGossip(ctx context.Context) {
	previouslyTimedOut := map[string]bool{}
	for pauser.Sleep(ctx, n.gossipPeriod()/2) {
		p := n.gossipPeriod()
		n.membership.SetFailureTimeout(max(minFailureTimeout, maxMissedPeriods*p))
		n.budgeter.SetRouterCount(n.membership.FleetSize())
		age, confirmed := n.watcher.ConfigAge()
		for _, peer := range n.membership.PeersDue(p, !confirmed || float64(age) > float64(gossipWithAllAge)*waitScale(n.relayer.MaxConfigAge)) {
			go n.gossipWith(ctx, peer)
		}
		timedOut := map[string]bool{}
		for _, name := range n.membership.TimedOut() {
			timedOut[name] = true
			if !previouslyTimedOut[name] {
				n.log("router-lost", "peer", name)
				n.allocator.RemoveRouter(name)
			}
		}
		previouslyTimedOut = timedOut
		n.quarantiner.Tick(timer.SinceBoot())
		n.tickCold()
	}
}

// gossipWith exchanges gossip with one peer. The ages of confirmations in the reply are taken
// relative to the time when the request was sent.
func (n *node) gossipWith(ctx context.Context, peer messenger.Peer) {
	sentAt := timer.SinceBoot()
	message := n.buildGossip(peer.Name)
	reply, err := n.messenger.ExchangeGossip(ctx, peer.Address, &message)
	if err != nil {
		if ctx.Err() == nil && n.membership.IsReachable(peer.Name) {
			n.log("news-failed", "peer", peer.Name, "err", err)
		}
		return
	}
	n.applyGossip(reply)
	n.evacuations.confirm(&reply.Evacuations, sentAt)
	if !reply.KnowsEras {
		// A router of an earlier release may have read on in a restored store.
		return
	}
	if reply.ProvenAgo >= 0 {
		n.watcher.ConfirmConfig(reply.Version, sentAt-reply.ProvenAgo)
	}
	if changed := reply.ServersPosition(); reply.ServersAgo >= 0 && n.watcher.ConfirmServers(changed, sentAt-reply.ServersAgo) {
		n.fetchServers(ctx, peer, changed)
	}
}

// fetchServers fetches server entries that this router lacks from a peer. A change then costs
// the store a few calls instead of one for each router.
func (n *node) fetchServers(ctx context.Context, peer messenger.Peer, changed watcher.Position) {
	if !n.fetchingServers.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingServers.Store(false)
	known, _, _ := n.watcher.ServersAge()
	sentAt := timer.SinceBoot()
	reply, err := n.messenger.FetchServers(ctx, peer.Address, known)
	if err != nil {
		n.log("servers-fetch-failed", "peer", peer.Name, "changed", changed, "err", err)
		n.watcher.RequireServers(changed)
		return
	}
	rows := make([]watcher.Row, len(reply.Rows))
	for i, r := range reply.Rows {
		rows[i] = watcher.Row{Key: r.ID, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	changed = watcher.Position{Era: reply.Era, Version: reply.Changed}
	n.watcher.ApplyPeerRows(rows, reply.Whole, changed, sentAt-reply.Ago, reply.Ago >= 0)
}

// handleFetchServers returns the server entries that changed after a position.
func (n *node) handleFetchServers(after watcher.Position) messenger.FetchServersReply {
	// The position must be read before the rows: rows that arrive in between are harmless,
	// whereas missing rows would be taken as unchanged.
	changed, ago, confirmed := n.watcher.ServersAge()
	if !confirmed {
		ago = -1
	}
	rows, whole := n.watcher.ServerRows(after)
	out := messenger.FetchServersReply{
		Whole: whole, Changed: changed.Version, Era: changed.Era, Ago: ago, Rows: make([]messenger.ServerRow, len(rows)),
	}
	for i, r := range rows {
		out.Rows[i] = messenger.ServerRow{ID: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	return out
}

// handleGossip handles gossip from a peer. The message may have been delayed on its way, so it
// does not count as a confirmation. If the peer claims a much more recent one, or newer server
// entries, this router queries the peer.
func (n *node) handleGossip(in *messenger.Gossip) messenger.Gossip {
	n.applyGossip(in)
	age, ok := n.watcher.ConfigAge()
	changed, serversAge, _ := n.watcher.ServersAge()
	fresher := in.ProvenAgo >= 0 && (!ok || in.ProvenAgo+minAgeAdvantage < age)
	newer := in.ServersPosition().Compare(changed) > 0 || in.ServersAgo >= 0 && in.ServersAgo+minAgeAdvantage < serversAge
	if in.KnowsEras && (fresher || newer) && n.confirming.CompareAndSwap(false, true) {
		go func() {
			defer n.confirming.Store(false)
			n.gossipWith(context.Background(), in.From)
		}()
	}
	out := n.buildGossip(in.From.Name)
	if !in.KnowsEras {
		// It would take a version of another era for its own.
		out.ServersAgo = -1
	}
	return out
}

// maxStoreBackoff returns the longest backoff after failed store calls.
func (n *node) maxStoreBackoff() time.Duration {
	return time.Duration(float64(min(maxBackoffStep*time.Duration(n.membership.StoreReadRank()), backoffLimit)) * waitScale(n.relayer.MaxConfigAge))
}

// waitForPeersUntil returns until when a router that has just started waits for data from its
// peers before it reads the store. The rank is known once the list of routers is read, and the
// first routers by rank then read the store at once.
func (n *node) waitForPeersUntil() time.Duration {
	listed := time.Duration(n.routersListedAt.Load())
	if listed == 0 {
		return n.startedAt + startListTimeout
	}
	return listed + min(time.Duration(n.membership.StartupRank())*storeReadAgeStep, maxStoreReadAge)
}

// storeReadAge returns the age of the last confirmation at which this router reads the store.
func (n *node) storeReadAge() time.Duration {
	maxAge := n.relayer.MaxConfigAge
	if evacuate := n.settings.Bounds.MaxEvacuationDelay(); evacuate > 0 {
		maxAge = min(maxAge, time.Duration(float64(evacuate)*configAgeFraction))
	}
	return storeReadAge(n.membership.StoreReadRank(), n.membership.FleetSize(), n.gossipPeriod(), maxAge)
}

// storeReadAge returns the age of the last confirmation at which a router of the given rank
// reads the store. It is scaled down if the maximum configuration age, which follows from the
// key revocation time, is below referenceMaxAge.
func storeReadAge(rank, size int, period, maxAge time.Duration) time.Duration {
	// Ranks count hubs twice, and a leaf may have been told the size of a fleet that is just starting.
	size = max(1, size)
	limit := maxStoreReadAge + storeReadAgeSpread*time.Duration(min(rank, size))/time.Duration(size)
	age := min(firstStoreReadAge+time.Duration(rank)*max(storeReadAgeStep, period/2), limit)
	return time.Duration(float64(age) * waitScale(maxAge))
}

// waitScale returns the factor by which waiting times are scaled at a maximum configuration age.
func waitScale(maxAge time.Duration) float64 { return min(1, float64(maxAge)/float64(referenceMaxAge)) }

// buildGossip returns the gossip message for a peer.
func (n *node) buildGossip(peer string) messenger.Gossip {
	changed, serversAge, confirmed := n.watcher.ServersAge()
	if !confirmed {
		serversAge = -1
	}
	out := messenger.Gossip{
		ServersChanged: changed.Version, StoreEra: changed.Era, ServersAgo: serversAge, KnowsEras: true,
		Leaving: n.isShuttingDown(), Crowded: n.readiness.reportsOverload(), ProvenAgo: -1, Contact: n.watcher.StoreContact(),
	}
	out.CrashDigest, out.CrashEvidence = n.quarantiner.ForPeer(timer.SinceBoot(), peer)
	acked, seen := n.membership.LimitsExchanged(peer)
	out.Limits, out.LimitsSeen = n.limits.ForPeer(timer.SinceBoot(), acked), seen
	n.fillColdGossip(peer, &out)
	if n.membership.FillGossip(peer, &out) {
		out.Loads, out.Grants, out.GrantsSeen = n.allocator.GossipForPeer(peer, n.membership.AckedGrants(peer))
	}
	// The version must be read after the age: an age that was read for an older version also
	// holds for a newer one, but not the other way round.
	age, ok := n.watcher.ConfigAge()
	if out.Version = n.watcher.ConfigVersion(); ok {
		out.ProvenAgo = age
	}
	out.Evacuations = n.evacuations.forPeer()
	return out
}

// applyGossip applies a gossip message from a peer.
func (n *node) applyGossip(in *messenger.Gossip) {
	replaced, recovered, lost := n.membership.ApplyGossip(in)
	if replaced {
		n.allocator.RemoveRouter(in.From.Name)
	}
	if recovered {
		n.log("router-heard", "peer", in.From.Name, "address", in.From.Address, "zone", in.From.AvailabilityZone, "replaced", replaced)
	}
	for _, p := range lost {
		n.log("router-lost", "peer", p.Name, "told-by", in.From.Name)
		n.messenger.Disconnect(p.Address)
		n.allocator.RemoveRouter(p.Name)
	}
	n.evacuations.applyPeer(in.From.Name, &in.Evacuations)
	n.quarantiner.ApplyGossip(timer.SinceBoot(), in.From.Name, in.CrashDigest, in.CrashEvidence)
	n.applyLimitNews(in.From.Name, in.Limits.News)
	n.applyColdNews(in.From.Name, in.Cold.News)
	n.allocator.ApplyGossip(in.From.Name, in.Loads, in.Grants)
	if in.KnowsEras {
		n.watcher.ApplyPeerContact(in.From.Name, in.StoreEra, in.Contact)
	}
	if in.Version > n.watcher.ConfigVersion() {
		go n.fetchConfig(in.From, in.Version)
	}
}

// handleFetchConfig returns the configuration if it is newer than a version.
func (n *node) handleFetchConfig(after uint64) messenger.FetchConfigReply {
	// The age must be read before the version, as in buildGossip.
	ago, confirmed := n.watcher.ConfigAge()
	if !confirmed {
		ago = -1
	}
	raw, version := n.watcher.RawConfig(after)
	return messenger.FetchConfigReply{Config: raw, Version: version, ProvenAgo: ago, KnowsEras: true}
}

// fetchConfig fetches a newer configuration from a peer and installs it.
func (n *node) fetchConfig(from messenger.Peer, version uint64) {
	after := n.watcher.ConfigVersion()
	if after >= version {
		return
	}
	sentAt := timer.SinceBoot()
	reply, err := n.messenger.FetchConfig(context.Background(), from.Address, after)
	if err != nil || len(reply.Config) == 0 {
		n.log("config-fetch-failed", "peer", from.Name, "version", version, "err", err)
		return
	}
	c, err := n.watcher.InstallConfig(reply.Config, from.Name)
	if err != nil {
		n.log("config-unreadable", "peer", from.Name, "version", version, "err", err)
		return
	}
	if reply.KnowsEras && reply.ProvenAgo >= 0 {
		n.watcher.ConfirmConfig(min(c.Version, reply.Version), sentAt-reply.ProvenAgo)
	}
}

// register writes this router's entry to the store and then reads the list of routers
// repeatedly. The write comes first so that of two routers that start at the same time, at
// least the one that writes last sees the other.
func (n *node) register(ctx context.Context) {
	err := n.retry(ctx, func() error { return n.putRouter(ctx) })
	// A write that the store applies late may be missing from another router's read, so the
	// list is read again soon and then at growing intervals. Within each group of routers that
	// can reach each other only the first by rank does so.
	for wait := minListPeriod; err == nil; wait = min(2*wait, maxListPeriod) {
		if wait == minListPeriod || n.membership.StoreReadRank() == 0 {
			err = n.retry(ctx, func() error { return n.readRouters(ctx) })
		}
		if err != nil || !pauser.Sleep(ctx, wait) {
			return
		}
	}
}

// putRouter writes this router's entry.
func (n *node) putRouter(ctx context.Context) error {
	era, err := n.store.PutRouter(ctx, platform.RouterEntry{
		Name: n.self.Name, Address: n.self.Address, AvailabilityZone: n.self.AvailabilityZone, Incarnation: n.self.Incarnation,
		CPUShare: n.self.CPUShare,
	})
	if err == nil {
		n.registeredEra.Store(era)
		notify(n.eraLearned)
	}
	return err
}

// retry calls f until it succeeds or the context ends.
func (n *node) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || ctx.Err() != nil {
			return err
		}
		n.log("registration-failed", "err", err)
		if !pauser.Sleep(ctx, listRetryDelay) {
			return ctx.Err()
		}
	}
}

func (n *node) readRouters(ctx context.Context) error {
	entries, invalid, err := n.store.ListRouters(ctx)
	if err != nil {
		return err
	}
	for _, err := range invalid {
		n.log("router-entry-unreadable", "err", err)
	}
	for _, e := range entries {
		n.membership.Add(messenger.Peer{
			Name: e.Name, Address: e.Address, AvailabilityZone: e.AvailabilityZone, Incarnation: e.Incarnation,
			CPUShare: e.CPUShare,
		})
	}
	n.routersListedAt.CompareAndSwap(0, int64(timer.SinceBoot()))
	return nil
}
