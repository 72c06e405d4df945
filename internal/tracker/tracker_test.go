package tracker

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/scheduler"
)

const server = "engine-1"

func newTracker(t interface{ Fatal(...any) }) (*Tracker, *scheduler.View) {
	var view scheduler.View
	tr := &Tracker{Name: "r1", AvailabilityZone: "a", OnView: func(v scheduler.View) { view = v }}
	backend := declarer.BackendServer{Name: server, Pool: "p", Address: "h:1", Slots: 2}
	config, err := (&declarer.Config{}).Apply(1, []declarer.Row{declarer.NewRow(declarer.SectionBackendServers, server, backend)})
	if err != nil {
		t.Fatal(err)
	}
	tr.SetConfig(config)
	return tr, &view
}

func newList(version, incarnation uint64, state connector.InstanceState, routers ...string) connector.InstanceList {
	list := connector.InstanceList{Version: version, Instances: []connector.Instance{
		{Name: server, Role: connector.RoleBackendServer, Incarnation: incarnation, State: state},
	}}
	for _, router := range routers {
		list.Instances = append(list.Instances, connector.Instance{
			Name: router, Role: connector.RoleRouter, Address: router + ":1", State: connector.StateLive,
		})
	}
	return list
}

// TestLeavingServerStaysLeaving checks that an incarnation of a backend server stays leaving once a
// list or a peer reported it as leaving, whatever later or stale lists say, and that a newer
// incarnation is live.
func TestLeavingServerStaysLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, view := newTracker(t)
		version := uint64(0)
		leaving := map[uint64]bool{}
		listed := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				// The platform's list never returns to an older incarnation.
				incarnation = max(incarnation, listed)
				version++
				state := rapid.SampledFrom([]connector.InstanceState{connector.StateLive, connector.StateLeaving}).Draw(t, "state")
				tr.SetList(newList(version, incarnation, state))
				listed = incarnation
				leaving[incarnation] = leaving[incarnation] || state == connector.StateLeaving
			case 1:
				// A stale list is ignored.
				tr.SetList(newList(rapid.Uint64Range(0, version).Draw(t, "old"), incarnation, connector.StateLive))
			case 2:
				tr.AddTombstones([]encoder.ServerTombstone{{Server: placer.ID(server), Incarnation: incarnation}})
				leaving[incarnation] = true
			}
			if listed > 0 && view.Servers[0].Leaving != leaving[listed] {
				t.Fatalf("incarnation %d has the wrong state: Leaving = %v", listed, view.Servers[0].Leaving)
			}
		}
	})
}

// TestNoViewBeforeFirstList guards against a bug: a router that had not read the list considered
// itself the only router and owned every backend server. It also checks that unreachable and
// stopping routers are not in the view.
func TestNoViewBeforeFirstList(t *testing.T) {
	c := qt.New(t)
	tr, view := newTracker(t)
	c.Assert(view.Servers, qt.HasLen, 0)
	tr.SetList(newList(1, 1, connector.StateLive, "r1", "r2"))
	c.Assert(view.Routers, qt.HasLen, 2)
	tr.SetPeerReachable("r2", false)
	c.Assert(view.Routers, qt.HasLen, 1)
	tr.SetPeerReachable("r2", true)
	c.Assert(view.Routers, qt.HasLen, 2)
	tr.SetPeerStopping("r2")
	c.Assert(view.Routers, qt.HasLen, 1)
	tr.SetStopping()
	c.Assert(view.Routers, qt.HasLen, 0)
}

// TestIsConfigCurrent checks that the configuration is not current after maxContactAge without
// contact to the store and the peers, unless there are no peers.
func TestIsConfigCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr, _ := newTracker(t)
		tr.SetList(newList(1, 1, connector.StateLive, "r1", "r2"))
		tr.RecordStoreContact()
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
		<-time.After(maxContactAge)
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsFalse)
		tr.RecordPeerContact()
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
		<-time.After(maxContactAge)
		tr.SetList(newList(2, 1, connector.StateLive, "r1"))
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
	})
}
