package scheduler

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestChargesMatchCosts checks that once all requests have ended, the owners have charged exactly
// the costs of the requests, however wrong the estimates were.
func TestChargesMatchCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "routers"), 3, 2)
		n := rapid.IntRange(1, 40).Draw(t, "requests")
		want := map[uint32]float64{}
		for range n {
			workspace := rapid.Uint32Range(1, 4).Draw(t, "workspace")
			cost := math.Floor(rapid.Float64Range(1, 300).Draw(t, "cost"))
			f.submit(f.names[f.rng.IntN(len(f.names))], workspace, cost, cost*rapid.Float64Range(0.25, 4).Draw(t, "error"))
			want[workspace] += cost
		}
		for range 6000 {
			f.step()
			if f.finished == n && len(f.inFlight) == 0 {
				break
			}
		}
		for range 300 {
			f.step()
		}
		if f.finished != n {
			t.Fatalf("only %d of %d requests ended", f.finished, n)
		}
		for workspace, cost := range want {
			if got := f.chargedTo(workspace); math.Abs(got-cost) > 1e-6*cost {
				t.Fatalf("workspace %d was charged %v for a cost of %v", workspace, got, cost)
			}
		}
		for server, running := range f.maxRunning {
			if running > 2 {
				t.Fatalf("server %s ran %d requests on 2 slots", server, running)
			}
		}
	})
}

// TestChargesMatchCostsAfterOwnerChange changes the owners of servers while requests run and
// checks that the old and the new owner together charge the cost of each request once. It guards
// against both owners charging the whole request.
func TestChargesMatchCostsAfterOwnerChange(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(3, 3, 4, 2)
	for i := range 8 {
		f.submit(f.names[i%3], 1, 500, 900)
	}
	for range 250 {
		f.step()
	}
	view := f.view
	view.Routers = view.Routers[1:]
	for _, name := range f.names {
		f.cores[name].SetView(f.now, view)
	}
	for range 2000 {
		f.step()
	}
	c.Assert(f.finished, qt.Equals, 8)
	c.Assert(f.chargedTo(1), qt.Equals, 8*500.0)
}

// TestChargesMatchCostsAfterPartition partitions a router from an owner while its requests run on
// the owner's servers, which the router takes over until the partition heals. The test checks that
// both owners together charge the cost of each request once. It guards against both of them
// charging what the first owner had accrued for the router that it lost.
func TestChargesMatchCostsAfterPartition(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(9, 2, 2, 4)
	for range 8 {
		f.submit(f.names[0], 1, 600, 600)
	}
	for range 300 {
		f.step()
	}
	c.Assert(len(f.running), qt.Equals, 8)
	firstView := f.view
	firstView.Routers = f.view.Routers[:1]
	f.cores[f.names[0]].PeerDown(f.now, f.names[1])
	f.cores[f.names[0]].SetView(f.now, firstView)
	secondView := f.view
	secondView.Routers = f.view.Routers[1:]
	f.cores[f.names[1]].PeerDown(f.now, f.names[0])
	f.cores[f.names[1]].SetView(f.now, secondView)
	for range 100 {
		f.step()
	}
	for i, name := range f.names {
		f.cores[name].PeerUp(f.now, f.names[1-i])
		f.cores[name].SetView(f.now, f.view)
	}
	for range 1000 {
		f.step()
	}
	c.Assert(f.finished, qt.Equals, 8)
	c.Assert(f.chargedTo(1), qt.Equals, 8*600.0)
}

// warmUp covers the takeover delay at the start, which the measurements exclude.
const warmUp = 2 * time.Second

// TestServiceGapIsBounded keeps workspaces backlogged, with requests spread unevenly over the
// routers. It checks that the gap in weighted service between workspaces never exceeds twice the
// largest cost of a request, and that slots are rarely idle.
func TestServiceGapIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(5, 4, 8, 4)
	const workspaces, maxCost = 6, 1000.0
	f.weights = map[uint32]float64{1: 4}
	for workspace := uint32(1); workspace <= workspaces; workspace++ {
		for i := range 400 {
			router := f.names[0]
			if workspace%2 == 0 {
				router = f.names[i%len(f.names)]
			}
			cost := math.Floor(math.Exp(f.rng.Float64()*math.Log(maxCost/10)) * 10)
			f.submit(router, workspace, cost, cost*math.Pow(4, 2*f.rng.Float64()-1))
		}
	}
	maxGap := 0.0
	for range int(warmUp / (10 * time.Millisecond)) {
		f.step()
	}
	f.idleSlotTime, f.totalSlotTime = 0, 0
	for range 6000 {
		f.step()
		minService, maxService := math.Inf(1), 0.0
		for workspace := uint32(1); workspace <= workspaces; workspace++ {
			service := f.serviceOf(workspace) / f.view.Weight(workspace)
			minService, maxService = min(minService, service), max(maxService, service)
		}
		maxGap = max(maxGap, maxService-minService)
	}
	c.Logf("largest gap in weighted service %.0f, idle share of slot time %.4f", maxGap, float64(f.idleSlotTime)/float64(f.totalSlotTime))
	c.Assert(maxGap <= 2*maxCost, qt.IsTrue)
	c.Assert(float64(f.idleSlotTime)/float64(f.totalSlotTime) < 0.02, qt.IsTrue)
}
