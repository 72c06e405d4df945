package accountant

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/encoder"
)

const owners = 3

var key = Key{Pool: 1, Workspace: 2}

// TestHomeSumsWhateverArrives sends reports repeated, late and out of order, and
// checks that the home holds the sum of what the owners charged once the newest
// report of each has arrived.
func TestHomeSumsWhateverArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var home Home
		ledgers := make([]Ledger, owners)
		var sent []encoder.Report
		var from []int
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, owners-1).Draw(t, "owner")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				ledgers[i].Charge(now, key, float64(rapid.IntRange(-50, 200).Draw(t, "amount")))
			case 1:
				sent = append(sent, ledgers[i].Report(now, key, "home", 0, false))
				from = append(from, i)
			case 2:
				if len(sent) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
				a := home.Report(now, source(from[k]), key.Pool, sent[k])
				ledgers[from[k]].Install("home", key.Pool, a)
			}
		}
		want := 0.0
		for i := range ledgers {
			r := ledgers[i].Report(now, key, "home", 0, false)
			ledgers[i].Install("home", key.Pool, home.Report(now, source(i), key.Pool, r))
			want += ledgers[i].Total(key)
		}
		r := ledgers[0].Report(now, key, "home", 0, false)
		got := float64(home.Report(now, source(0), key.Pool, r).Value)
		if math.Abs(got-want) > owners {
			t.Fatalf("the home holds %v, the owners charged %v", got, want)
		}
	})
}

func source(i int) Source { return Source{Router: string(rune('a' + i)), Incarnation: 1} }

// TestCorrectionIsNotUndone keeps the case of a bug: another owner's older echo
// brought back what a correction had taken away.
func TestCorrectionIsNotUndone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var home Home
	var a, b Ledger
	tell := func(l *Ledger, i int) uint64 {
		acc := home.Report(now, source(i), key.Pool, l.Report(now, key, "home", 0, false))
		l.Install("home", key.Pool, acc)
		return acc.Value
	}
	a.Charge(now, key, 1000)
	tell(&a, 0)
	tell(&b, 1)
	a.Charge(now, key, -900)
	c.Assert(tell(&a, 0), qt.Equals, uint64(100))
	b.Charge(now, key, 5)
	c.Assert(tell(&b, 1), qt.Equals, uint64(105))
}

// TestLostHomeIsRebuilt moves the account to a home that knows nothing.
func TestLostHomeIsRebuilt(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var old, fresh Home
	var a, b Ledger
	for range 2 {
		a.Charge(now, key, 300)
		b.Charge(now, key, 200)
		a.Install("old", key.Pool, old.Report(now, source(0), key.Pool, a.Report(now, key, "old", 0, false)))
		b.Install("old", key.Pool, old.Report(now, source(1), key.Pool, b.Report(now, key, "old", 0, false)))
	}
	a.Charge(now, key, 50)
	fresh.Report(now, source(1), key.Pool, b.Report(now, key, "new", 0, false))
	got := fresh.Report(now, source(0), key.Pool, a.Report(now, key, "new", 0, false))
	c.Assert(got.Value, qt.Equals, uint64(1050))
}

// report tells a home of an owner's account and returns the fleet-wide value.
func report(now time.Time, h *Home, name string, l *Ledger, i int) uint64 {
	acc := h.Report(now, source(i), key.Pool, l.Report(now, key, name, 0, false))
	l.Install(name, key.Pool, acc)
	return acc.Value
}

// TestHomeThatReturnsCatchesUp keeps the case of a bug: a router was home in one
// partition and again in a later one, and knew its sources from the first. It
// missed what was served in between, by owners that are cut off from it now.
func TestHomeThatReturnsCatchesUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var main, spare Home
	var a, b Ledger
	a.Charge(now, key, 100)
	report(now, &main, "main", &a, 0)
	report(now, &spare, "spare", &a, 0)
	b.Charge(now, key, 1000)
	report(now, &main, "main", &b, 1)
	report(now, &main, "main", &a, 0)
	a.Charge(now, key, 10)
	now = now.Add(3 * ReportWithin)
	c.Assert(report(now, &spare, "spare", &a, 0), qt.Equals, uint64(1110))
	c.Assert(report(now, &main, "main", &a, 0), qt.Equals, uint64(1110))
}

// TestEchoOfAnotherSideIsIgnored keeps the case of a bug: after a partition the
// other side's echo, which lacked a correction, undid it.
func TestEchoOfAnotherSideIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var main, spare Home
	var a, b Ledger
	a.Charge(now, key, 1000)
	report(now, &main, "main", &a, 0)
	report(now, &main, "main", &b, 1)
	a.Charge(now, key, -800)
	b.Charge(now, key, 50)
	report(now, &main, "main", &a, 0)
	report(now, &spare, "spare", &b, 1)
	now = now.Add(ReportWithin)
	report(now, &main, "main", &a, 0)
	now = now.Add(ReportWithin)
	report(now, &main, "main", &a, 0)
	now = now.Add(ReportWithin)
	c.Assert(report(now, &main, "main", &b, 1), qt.Equals, uint64(250))
}

// TestIdlingSavesUpNothing lifts a workspace that comes back, and leaves one
// alone that was backlogged elsewhere.
func TestIdlingSavesUpNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var home Home
	var a, b Ledger
	r := a.Report(now, key, "home", 5000, true)
	c.Assert(home.Report(now, source(0), key.Pool, r).Value, qt.Equals, uint64(5000))
	now = now.Add(IdleGrace / 2)
	r = b.Report(now, key, "home", 9000, true)
	c.Assert(home.Report(now, source(1), key.Pool, r).Value, qt.Equals, uint64(5000))
	now = now.Add(2 * IdleGrace)
	r = b.Report(now, key, "home", 9000, true)
	c.Assert(home.Report(now, source(1), key.Pool, r).Value, qt.Equals, uint64(9000))

	// Just after a change of the routers nobody is lifted.
	now = now.Add(2 * IdleGrace)
	home.HoldLifts(now)
	r = a.Report(now, key, "home", 20000, true)
	c.Assert(home.Report(now, source(0), key.Pool, r).Value, qt.Equals, uint64(9000))
}
