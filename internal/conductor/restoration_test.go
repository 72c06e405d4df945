package conductor

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

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
