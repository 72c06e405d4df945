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
	// listFirst is the time until the routers' entries are read again, which doubles
	// up to listMost: a router makes itself known to all that it reads of.
	listFirst = time.Second
	listMost  = 30 * time.Second
	// listRetry is the wait after a failed try.
	listRetry = 500 * time.Millisecond
	// freshEnough is by how much a peer's proof must be fresher to be asked for.
	freshEnough = 150 * time.Millisecond
	// askFirst is the age of a proof from which the first router asks the store,
	// askStep what each further one waits longer, askMost the most. One answer
	// reaches all routers within two periods of news; where these are long, the
	// steps are too. askSpread is the time over which the routers of a large fleet
	// ask if the first ones get no answer.
	askFirst  = 300 * time.Millisecond
	askStep   = 150 * time.Millisecond
	askMost   = 1200 * time.Millisecond
	askSpread = 800 * time.Millisecond
	// backoffStep is by what the longest wait after failed calls to the store grows with
	// each rank, up to backoffMost: while the store is away, routers that come late by
	// rank learn of its return from the others.
	backoffStep = 100 * time.Millisecond
	backoffMost = 2 * time.Second
	// listWithin is how long a router that has just started waits for the list of
	// routers before it reads the store all the same.
	listWithin = 300 * time.Millisecond
	// maxAgeUsual is the age of a proof up to which keys count, for which the other times
	// are meant.
	maxAgeUsual = 3500 * time.Millisecond
	// unprovenAfter is the age of the proof from which peers are asked for theirs.
	unprovenAfter = 1500 * time.Millisecond
)

// period returns the period of news between two routers.
func (n *node) period() time.Duration {
	return max(newsPeriod, time.Duration(n.roster.Neighbours())*time.Second/(2*newsRate))
}

// exchangeNews keeps the routers informed of each other until the context ends.
func (n *node) exchangeNews(ctx context.Context) {
	gone := map[string]bool{}
	for pauser.Sleep(ctx, n.period()/2) {
		p := n.period()
		n.roster.SetSilence(max(peerSilence, silentPeriods*p))
		n.budgeter.Share(n.roster.Fleet())
		age, proven := n.watcher.Age()
		for _, peer := range n.roster.Due(p, !proven || float64(age) > float64(unprovenAfter)*hurry(n.relayer.MaxAge)) {
			go n.askNews(ctx, peer)
		}
		unheard := map[string]bool{}
		for _, name := range n.roster.Unheard() {
			unheard[name] = true
			if !gone[name] {
				n.log("router-lost", "peer", name)
				n.allocator.Forget(name)
			}
		}
		gone = unheard
	}
}

// askNews exchanges news with one peer. Its proof of the configuration counts
// from when the question was sent.
func (n *node) askNews(ctx context.Context, peer messenger.Peer) {
	askedAt := timer.SinceBoot()
	news := n.news(peer.Name)
	reply, err := n.messenger.News(ctx, peer.Address, &news)
	if err != nil {
		if ctx.Err() == nil && n.roster.IsReachable(peer.Name) {
			n.log("news-failed", "peer", peer.Name, "err", err)
		}
		return
	}
	n.heard(reply)
	if reply.ProvenAgo >= 0 {
		n.watcher.Prove(reply.Version, askedAt-reply.ProvenAgo)
	}
	if reply.ServersAgo >= 0 && n.watcher.ProveServers(reply.ServersChanged, askedAt-reply.ServersAgo) {
		n.fetchServers(ctx, peer, reply.ServersChanged)
	}
}

// fetchServers reads the servers' entries that a peer has and this router lacks,
// so that a change costs the store few calls and not one of each router.
func (n *node) fetchServers(ctx context.Context, peer messenger.Peer, changed uint64) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	defer n.fetching.Store(false)
	mine, _, _ := n.watcher.ServersAge()
	askedAt := timer.SinceBoot()
	reply, err := n.messenger.Servers(ctx, peer.Address, mine)
	if err != nil {
		n.log("servers-fetch-failed", "peer", peer.Name, "changed", changed, "err", err)
		n.watcher.WantServers(changed)
		return
	}
	rows := make([]watcher.Row, len(reply.Rows))
	for i, r := range reply.Rows {
		rows[i] = watcher.Row{Key: r.ID, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	n.watcher.TakeServerRows(rows, reply.Whole, reply.Changed, askedAt-reply.Ago, reply.Ago >= 0)
}

// onServersAsked answers a peer that lacks entries.
func (n *node) onServersAsked(after uint64) messenger.ServersReply {
	// The version comes first: rows that arrive meanwhile do no harm, and ones that
	// are missing would.
	changed, ago, proven := n.watcher.ServersAge()
	if !proven {
		ago = -1
	}
	rows, whole := n.watcher.ServerRows(after)
	out := messenger.ServersReply{Whole: whole, Changed: changed, Ago: ago, Rows: make([]messenger.ServerRow, len(rows))}
	for i, r := range rows {
		out.Rows[i] = messenger.ServerRow{ID: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	return out
}

// onNews answers a peer's news. What a peer says unasked may have been long on
// its way, so it proves nothing; if it claims a much fresher proof, it is asked.
func (n *node) onNews(in *messenger.News) messenger.News {
	n.heard(in)
	age, ok := n.watcher.Age()
	changed, serversAge, _ := n.watcher.ServersAge()
	fresher := in.ProvenAgo >= 0 && (!ok || in.ProvenAgo+freshEnough < age)
	newer := in.ServersChanged > changed || in.ServersAgo >= 0 && in.ServersAgo+freshEnough < serversAge
	if (fresher || newer) && n.asking.CompareAndSwap(false, true) {
		go func() {
			defer n.asking.Store(false)
			n.askNews(context.Background(), in.From)
		}()
	}
	return n.news(in.From.Name)
}

// storeBackoff returns the longest wait after failed calls to the store.
func (n *node) storeBackoff() time.Duration {
	return time.Duration(float64(min(backoffStep*time.Duration(n.roster.Rank()), backoffMost)) * hurry(n.relayer.MaxAge))
}

// startBy returns until when a router that has just started waits for what others
// know: those that come first by rank read the store at once, as soon as the list of
// routers is read, which tells the rank.
func (n *node) startBy() time.Duration {
	listed := time.Duration(n.listedAt.Load())
	if listed == 0 {
		return n.startedAt + listWithin
	}
	return listed + min(time.Duration(n.roster.StartRank())*askStep, askMost)
}

// askAfter returns the age of a proof from which this router asks the store.
func (n *node) askAfter() time.Duration {
	return askAfter(n.roster.Rank(), n.roster.Fleet(), n.period(), n.relayer.MaxAge)
}

// askAfter is the same for a router's place by name among the others, which decides
// who asks first.
// It is shorter where keys have to be out of force so soon that a proof counts only for
// less than maxAgeUsual.
func askAfter(rank, size int, period, maxAge time.Duration) time.Duration {
	most := askMost + askSpread*time.Duration(rank)/time.Duration(max(1, size))
	after := min(askFirst+time.Duration(rank)*max(askStep, period/2), most)
	return time.Duration(float64(after) * hurry(maxAge))
}

// hurry is by which part waits for proofs are shorter than usual.
func hurry(maxAge time.Duration) float64 { return min(1, float64(maxAge)/float64(maxAgeUsual)) }

// news returns what the peer is told.
func (n *node) news(peer string) messenger.News {
	changed, serversAge, proven := n.watcher.ServersAge()
	if !proven {
		serversAge = -1
	}
	out := messenger.News{
		ServersChanged: changed, ServersAgo: serversAge,
		Leaving: n.isClosing(), Crowded: n.backpressure.busy(), ProvenAgo: -1, Contact: n.watcher.Contact(),
	}
	if n.roster.Tell(peer, &out) {
		out.Loads, out.Grants, out.GrantsSeen = n.allocator.Tell(peer, n.roster.Told(peer))
	}
	// The version comes after the age: what an older proof says of a version holds
	// for a newer one, and not the other way round.
	age, ok := n.watcher.Age()
	if out.Version = n.watcher.Version(); ok {
		out.ProvenAgo = age
	}
	return out
}

// heard takes a peer's news in.
func (n *node) heard(in *messenger.News) {
	replaced, regained, lost := n.roster.Hear(in)
	if replaced {
		n.allocator.Forget(in.From.Name)
	}
	if regained {
		n.log("router-heard", "peer", in.From.Name, "address", in.From.Address, "zone", in.From.AvailabilityZone, "replaced", replaced)
	}
	for _, p := range lost {
		n.log("router-lost", "peer", p.Name, "told-by", in.From.Name)
		n.messenger.Forget(p.Address)
		n.allocator.Forget(p.Name)
	}
	n.allocator.Hear(in.From.Name, in.Loads, in.Grants)
	n.watcher.PeerContact(in.From.Name, in.Contact)
	if in.Version > n.watcher.Version() {
		go n.fetch(in.From, in.Version)
	}
}

// onFetch answers a peer that lacks a configuration newer than a version.
func (n *node) onFetch(after uint64) messenger.FetchReply {
	// The proof comes first, as in news.
	ago, proven := n.watcher.Age()
	if !proven {
		ago = -1
	}
	raw, version := n.watcher.Raw(after)
	return messenger.FetchReply{Config: raw, Version: version, ProvenAgo: ago}
}

// fetch installs a newer configuration that a peer has.
func (n *node) fetch(from messenger.Peer, version uint64) {
	after := n.watcher.Version()
	if after >= version {
		return
	}
	askedAt := timer.SinceBoot()
	reply, err := n.messenger.Fetch(context.Background(), from.Address, after)
	if err != nil || len(reply.Config) == 0 {
		n.log("config-fetch-failed", "peer", from.Name, "version", version, "err", err)
		return
	}
	c, err := n.watcher.Install(reply.Config, from.Name)
	if err != nil {
		n.log("config-unreadable", "peer", from.Name, "version", version, "err", err)
		return
	}
	if reply.ProvenAgo >= 0 {
		n.watcher.Prove(min(c.Version, reply.Version), askedAt-reply.ProvenAgo)
	}
}

// register makes this router known in the store and learns of the others. It
// writes before it reads: of two routers that start together, at least the one
// that writes last then sees the other.
func (n *node) register(ctx context.Context) {
	err := n.retry(ctx, func() error {
		return n.store.PutRouter(ctx, platform.RouterEntry{
			Name: n.self.Name, Address: n.self.Address, AvailabilityZone: n.self.AvailabilityZone, Incarnation: n.self.Incarnation,
			CPUShare: n.self.CPUShare,
		})
	})
	// A write whose answer was late may come after another router's read, so the
	// list is read again soon, and then ever more rarely. One of the routers that
	// hear each other is enough for that; those that do not have one each.
	for wait := listFirst; err == nil; wait = min(2*wait, listMost) {
		if wait == listFirst || n.roster.Rank() == 0 {
			err = n.retry(ctx, func() error { return n.list(ctx) })
		}
		if err != nil || !pauser.Sleep(ctx, wait) {
			return
		}
	}
}

// retry calls f until it works or the context ends.
func (n *node) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || ctx.Err() != nil {
			return err
		}
		n.log("registration-failed", "err", err)
		if !pauser.Sleep(ctx, listRetry) {
			return ctx.Err()
		}
	}
}

func (n *node) list(ctx context.Context) error {
	entries, bad, err := n.store.Routers(ctx)
	if err != nil {
		return err
	}
	for _, err := range bad {
		n.log("router-entry-unreadable", "err", err)
	}
	for _, e := range entries {
		n.roster.Add(messenger.Peer{
			Name: e.Name, Address: e.Address, AvailabilityZone: e.AvailabilityZone, Incarnation: e.Incarnation,
			CPUShare: e.CPUShare,
		})
	}
	n.listedAt.CompareAndSwap(0, int64(timer.SinceBoot()))
	return nil
}
