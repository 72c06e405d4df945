package conductor

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/linker"
	"papayapaddle/internal/messenger"
	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// restoreAndWrite restores the store from a copy of a version, then makes changes until the store's versions are past
// those that routers have read, and only then lets routers reach it again.
func (f *fleet) restoreAndWrite(copied uint64, write func()) {
	f.cluster.Store.SetDown(true)
	read := f.cluster.Store.Version()
	f.cluster.Store.Restore(copied)
	write()
	for f.cluster.Store.Version() <= read {
		f.cluster.Store.Put("other", "row", nil)
	}
	f.cluster.Store.SetDown(false)
}

// Guards against a router that reads on at its old position in a restored store and misses what was written below it.
func TestChangeAfterStoreRestoreIsMissed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	copied := f.cluster.Store.Version()
	for range 5 {
		f.cluster.Store.Put("other", "row", nil)
	}
	f.cluster.PutServer("booking-1", "booking", "ready")
	f.cluster.SetAPIKeys(standin.APIKey, "unused")
	w := f.routers["a"].node.watcher
	eventually(c, "the router has read on", func() bool { return w.ConfigVersion() == f.cluster.ConfigVersion })
	f.restoreAndWrite(copied, func() {
		f.cluster.SetAPIKeys("another")
		f.cluster.PutServer("booking-2", "booking", "draining")
	})
	eventually(c, "the revoked key is refused", func() bool {
		return f.call("a", standin.PlainPrefix+"x", standin.APIKey, "").Status == http.StatusUnauthorized
	})
	eventually(c, "the draining server is known", func() bool { return len(w.ServerSet().ByService["booking"]) == 1 })
}

// Guards against confirmations of routers of the release before, which do not compare eras and may have read on in a
// restored store, and against confirmations for them by a number that they hold of another era.
func TestRouterOfPreviousReleaseConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	n := f.routers["a"].node
	f.cluster.Store.SetDown(true)
	for _, knowsEras := range []bool{false, true} {
		peer := messenger.Peer{Name: "peer", Address: peerAddress(c, func(*messenger.Gossip) messenger.Gossip {
			changed, _, _ := n.watcher.ServersAge()
			return messenger.Gossip{
				From: messenger.Peer{Name: "peer"}, Version: n.watcher.ConfigVersion(), ServersChanged: changed.Version,
				StoreEra: changed.Era, KnowsEras: knowsEras,
			}
		})}
		eventually(c, "the last confirmation is older", func() bool {
			config, _ := n.watcher.ConfigAge()
			_, servers, _ := n.watcher.ServersAge()
			return min(config, servers) > time.Second
		})
		config, _ := n.watcher.ConfigAge()
		_, servers, _ := n.watcher.ServersAge()
		n.gossipWith(t.Context(), peer)
		newConfig, _ := n.watcher.ConfigAge()
		_, newServers, _ := n.watcher.ServersAge()
		c.Check(newConfig < config, qt.Equals, knowsEras)
		c.Check(newServers < servers, qt.Equals, knowsEras)
		out := n.handleGossip(&messenger.Gossip{From: messenger.Peer{Name: "peer"}, ServersAgo: -1, ProvenAgo: -1, KnowsEras: knowsEras})
		c.Check(out.ServersAgo >= 0, qt.Equals, knowsEras)
	}
}

// peerAddress starts a router that only answers gossip and returns its address.
func peerAddress(c *qt.C, answer func(*messenger.Gossip) messenger.Gossip) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	m := &messenger.Messenger{Handlers: messenger.Handlers{Gossip: answer}}
	// Serve ends with the listener.
	go func() { _ = m.Serve(ln) }()
	c.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// Guards against rows that routers wrote themselves and that stay lost after the store was restored from a copy: a router that
// starts later would find no peers, no verdicts, and no settled era.
func TestRowsOfRoutersAreLostInRestore(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	copied := f.cluster.Store.Version()
	f.start("a")
	f.start("b")
	f.crashOn("bad")
	tick := time.NewTicker(crashInterval)
	defer tick.Stop()
	for i := range crashesBeforeVerdict {
		<-tick.C
		_, _ = f.callWithParts("a", fmt.Sprintf("before-%d", i), "first", "bad")
	}
	store := platform.NewStore(f.cluster.StoreAddress(), linker.NewKeepAliveDialer(connSilenceTimeout))
	written := func() bool {
		routers, _, err := store.ListRouters(t.Context())
		c.Assert(err, qt.IsNil)
		verdicts, err := store.GetVerdicts(t.Context())
		c.Assert(err, qt.IsNil)
		settled, era, err := store.GetSettledEra(t.Context())
		c.Assert(err, qt.IsNil)
		return len(routers) == 2 && len(verdicts.Evidence) == 1 && settled == era
	}
	eventually(c, "the routers have written their rows", written)
	f.cluster.Store.Restore(copied)
	f.cluster.Store.WriteAgain()
	eventually(c, "the routers have written their rows again", written)
}
