package pacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// coldOwner is a router as the owner of one cold server.
type coldOwner struct {
	tenure Tenure
	pacer  Pacer
	// believes is true while the router takes itself for the owner, and share what it reaches of the fleet.
	believes bool
	share    float64
}

func newColdOwner() *coldOwner { return &coldOwner{pacer: Pacer{Even: true}} }

// Guards against a cold server that gets more requests in some second than the rule allows: while its owner changes any
// number of times, two routers are owners at the same time, the fleet is partitioned, owners start again and have
// forgotten what they let start, and grants are delayed on their way.
func TestColdRuleHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step, routers = 10 * time.Millisecond, 5
		// Without a tolerance, one request more would break the rule.
		rule := ColdRule{Overage: 1.5, Tolerance: rapid.SampledFrom([]float64{0, 5}).Draw(rt, "tolerance")}
		perSecond := rapid.SampledFrom([]float64{8.3, 7.9, 2, 30, 120}).Draw(rt, "rate")
		rate := rule.Rate(perSecond)
		if rate > perSecond {
			rt.Fatalf("an owner uses %v a second of %v", rate, perSecond)
		}
		owners := make([]*coldOwner, routers)
		for i := range owners {
			owners[i] = newColdOwner()
		}
		begin := time.Unix(1000, 0)
		var sent []time.Duration
		// Owners change so quickly that several are owners within a second, or stay long enough to be settled.
		pauses := rapid.SampledFrom([][]time.Duration{{20, 80, 150}, {300, 1200, 2500}, {20, 1500}}).Draw(rt, "times between changes")
		// Draws from a generator of its own are spread evenly, while rapid prefers small values.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), rapid.Uint64().Draw(rt, "seed")))
		nextChange, wanted := time.Duration(0), true
		for now := time.Duration(0); now < 12*time.Second; now += step {
			if now >= nextChange {
				nextChange = now + pauses[rng.IntN(len(pauses))]*time.Millisecond
				wanted = rng.IntN(4) > 0
				// Often only the load changes.
				changed := rng.IntN(2) == 0 || now == 0
				restarted := rng.IntN(3 * routers)
				first, second := rng.IntN(routers), rng.IntN(routers)
				partitioned := rng.IntN(3) == 0
				if changed && restarted < routers {
					owners[restarted] = newColdOwner()
				}
				for i, o := range owners {
					if !changed {
						break
					}
					o.believes, o.share = i == first || i == second, 1
					if partitioned {
						// Each side reaches half of the fleet, the other routers less.
						o.believes, o.share = true, 0.3
						if i == first || i == second {
							o.share = 0.5
						}
					}
				}
			}
			for _, o := range owners {
				var owned []string
				if o.believes {
					owned = []string{"s"}
				}
				o.tenure.Update(now, owned, o.share, true)
				at := begin.Add(now)
				for wanted && o.tenure.MayGrant(now, "s") && !o.pacer.Next(at, rate*o.share).After(at) {
					o.pacer.Take(at, rate*o.share)
					delay := []time.Duration{0, 0, 30, 60, 100, 101, 400}[rng.IntN(7)] * time.Millisecond
					if delay <= GrantTTL {
						sent = append(sent, now+delay)
					}
				}
			}
		}
		for _, from := range sent {
			n := 0
			for _, at := range sent {
				if at >= from && at-from < time.Second {
					n++
				}
			}
			if float64(n) > rule.Allowed(perSecond) {
				rt.Fatalf("%d requests in the second from %v, %v are allowed at %v a second", n, from, rule.Allowed(perSecond), perSecond)
			}
		}
	})
}

// Guards against an owner that lets requests start although it does not know whether there is another one: one that has
// just started, that reaches less than half of the fleet, or that was not the owner a moment ago.
func TestTenure(t *testing.T) {
	c := qt.New(t)
	var o Tenure
	update := func(now time.Duration, share float64, listed bool) { o.Update(now, []string{"s"}, share, listed) }
	update(0, 1, false)
	update(2*TenureTime, 1, false)
	c.Check(o.MayGrant(2*TenureTime, "s"), qt.IsFalse, qt.Commentf("without the list of routers"))
	now := 2 * TenureTime
	update(now, 1, true)
	update(now+TenureTime-1, 1, true)
	c.Check(o.MayGrant(now+TenureTime-1, "s"), qt.IsFalse)
	c.Check(o.MayGrant(now+TenureTime, "s"), qt.IsTrue)
	c.Check(o.MayGrant(now+10*TenureTime, "s"), qt.IsFalse, qt.Commentf("after a pause of the router"))
	update(now+TenureTime, 0.4, true)
	c.Check(o.MayGrant(now+TenureTime, "s"), qt.IsFalse, qt.Commentf("with less than half of the fleet"))
	update(now+TenureTime, 0.5, true)
	c.Check(o.MayGrant(now+TenureTime, "s"), qt.IsFalse)
	update(now+2*TenureTime, 0.5, true)
	c.Check(o.MayGrant(now+2*TenureTime, "s"), qt.IsTrue)
	o.Lose("s")
	c.Check(o.MayGrant(now+2*TenureTime, "s"), qt.IsFalse)
	c.Check(o.MayGrant(now, "other"), qt.IsFalse)
}

// Guards against a rate that two owners at the same time could exceed the rule with, or that is too low to be of use.
func TestColdRate(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		rule      ColdRule
		perSecond float64
		want      string
	}{
		{ColdRule{1.5, 5}, 8.3, "7.27"}, {ColdRule{1.5, 5}, 7.9, "7.27"}, {ColdRule{1.5, 5}, 1, "1.00"},
		{ColdRule{}, 8.3, "3.64"}, {ColdRule{}, 1, "0.91"},
	} {
		c.Check(fmt.Sprintf("%.2f", tt.rule.Rate(tt.perSecond)), qt.Equals, tt.want)
	}
}
