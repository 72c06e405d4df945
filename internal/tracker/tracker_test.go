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
	s := declarer.BackendServer{Name: server, Pool: "p", Address: "h:1", Slots: 2}
	c, err := (&declarer.Config{}).Apply(1, []declarer.Row{declarer.NewRow(declarer.SectionBackendServers, server, s)})
	if err != nil {
		t.Fatal(err)
	}
	tr.SetConfig(c)
	return tr, &view
}

func list(version, incarnation uint64, state connector.State, routers ...string) connector.List {
	l := connector.List{Version: version, Instances: []connector.Instance{
		{Name: server, Role: connector.RoleBackendServer, Incarnation: incarnation, State: state},
	}}
	for _, r := range routers {
		l.Instances = append(l.Instances, connector.Instance{Name: r, Role: connector.RoleRouter, Address: r + ":1", State: connector.StateLive})
	}
	return l
}

// TestLeavingServerStaysLeaving tells of a leaving server by list or peer, shows older
// and repeated lists and peers after it, and checks that its incarnation stays
// leaving while a newer one is taken for live.
func TestLeavingServerStaysLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, view := newTracker(t)
		version := uint64(0)
		leaving := map[uint64]bool{}
		listed := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			inc := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				// The list is the platform's and never goes back to an older
				// incarnation.
				inc = max(inc, listed)
				version++
				state := rapid.SampledFrom([]connector.State{connector.StateLive, connector.StateLeaving}).Draw(t, "state")
				tr.SetList(list(version, inc, state))
				listed = inc
				leaving[inc] = leaving[inc] || state == connector.StateLeaving
			case 1:
				// A list that arrives late changes nothing.
				tr.SetList(list(rapid.Uint64Range(0, version).Draw(t, "old"), inc, connector.StateLive))
			case 2:
				tr.AddTombstones([]encoder.ServerTombstone{{Server: placer.ID(server), Incarnation: inc}})
				leaving[inc] = true
			}
			if listed > 0 && view.Servers[0].Leaving != leaving[listed] {
				t.Fatalf("incarnation %d is shown as leaving: %v", listed, view.Servers[0].Leaving)
			}
		}
	})
}

// TestNoViewBeforeFirstList keeps the case of a bug: a router that had not read the
// list took itself for the only one and owned every server.
func TestNoViewBeforeFirstList(t *testing.T) {
	c := qt.New(t)
	tr, view := newTracker(t)
	c.Assert(view.Servers, qt.HasLen, 0)
	tr.SetList(list(1, 1, connector.StateLive, "r1", "r2"))
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

// TestIsConfigCurrent says not current after silence of store and peers, but not where
// there is no peer to hear.
func TestIsConfigCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr, _ := newTracker(t)
		tr.SetList(list(1, 1, connector.StateLive, "r1", "r2"))
		tr.RecordStoreContact()
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
		<-time.After(currentFor)
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsFalse)
		tr.RecordPeerContact()
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
		<-time.After(currentFor)
		tr.SetList(list(2, 1, connector.StateLive, "r1"))
		c.Assert(tr.IsConfigCurrent(time.Now()), qt.IsTrue)
	})
}
