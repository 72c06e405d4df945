package accountant

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/encoder"
)

const ownerCount = 3

var key = Key{Pool: 1, Workspace: 2}

// TestHomeConvergesToSumOfCharges delivers reports duplicated, late and out of
// order. Once the latest report of each owner has arrived, the home must hold
// the sum of all charges.
func TestHomeConvergesToSumOfCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var home Home
		ledgers := make([]Ledger, ownerCount)
		var sent []encoder.Report
		var senders []int
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, ownerCount-1).Draw(t, "owner")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				ledgers[i].Charge(now, key, float64(rapid.IntRange(-50, 200).Draw(t, "amount")))
			case 1:
				sent = append(sent, ledgers[i].MakeReport(now, key, "home", 0, false))
				senders = append(senders, i)
			case 2:
				if len(sent) == 0 {
					continue
				}
				j := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
				a := home.ApplyReport(now, source(senders[j]), key.Pool, sent[j])
				ledgers[senders[j]].ApplyReply("home", key.Pool, a)
			}
		}
		want := 0.0
		for i := range ledgers {
			r := ledgers[i].MakeReport(now, key, "home", 0, false)
			ledgers[i].ApplyReply("home", key.Pool, home.ApplyReport(now, source(i), key.Pool, r))
			want += ledgers[i].LocalTotal(key)
		}
		r := ledgers[0].MakeReport(now, key, "home", 0, false)
		got := float64(home.ApplyReport(now, source(0), key.Pool, r).Value)
		if math.Abs(got-want) > ownerCount {
			t.Fatalf("home holds %v, want the sum of charges %v", got, want)
		}
	})
}

func source(i int) Source { return Source{Router: string(rune('a' + i)), Incarnation: 1} }

// TestStaleEchoKeepsCorrection guards against a stale echo undoing a correction:
// one owner corrects its charge downwards, and another still echoes the value
// from before the correction.
func TestStaleEchoKeepsCorrection(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var home Home
	var a, b Ledger
	report := func(l *Ledger, i int) uint64 {
		acc := home.ApplyReport(now, source(i), key.Pool, l.MakeReport(now, key, "home", 0, false))
		l.ApplyReply("home", key.Pool, acc)
		return acc.Value
	}
	a.Charge(now, key, 1000)
	report(&a, 0)
	report(&b, 1)
	a.Charge(now, key, -900)
	c.Assert(report(&a, 0), qt.Equals, uint64(100))
	b.Charge(now, key, 5)
	c.Assert(report(&b, 1), qt.Equals, uint64(105))
}

// TestNewHomeIsRebuiltFromEchoes moves an account to a home without state, which
// must recover the fleet-wide value from the echoes of the owners.
func TestNewHomeIsRebuiltFromEchoes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var oldHome, newHome Home
	var a, b Ledger
	for range 2 {
		a.Charge(now, key, 300)
		b.Charge(now, key, 200)
		a.ApplyReply("old", key.Pool, oldHome.ApplyReport(now, source(0), key.Pool, a.MakeReport(now, key, "old", 0, false)))
		b.ApplyReply("old", key.Pool, oldHome.ApplyReport(now, source(1), key.Pool, b.MakeReport(now, key, "old", 0, false)))
	}
	a.Charge(now, key, 50)
	newHome.ApplyReport(now, source(1), key.Pool, b.MakeReport(now, key, "new", 0, false))
	got := newHome.ApplyReport(now, source(0), key.Pool, a.MakeReport(now, key, "new", 0, false))
	c.Assert(got.Value, qt.Equals, uint64(1050))
}

// sendReport reports an owner's account to a home, applies the reply and returns
// the fleet-wide value.
func sendReport(now time.Time, home *Home, homeName string, ledger *Ledger, i int) uint64 {
	acc := home.ApplyReport(now, source(i), key.Pool, ledger.MakeReport(now, key, homeName, 0, false))
	ledger.ApplyReply(homeName, key.Pool, acc)
	return acc.Value
}

// TestReturningHomeCatchesUp guards against a home resuming from an outdated
// value. A router is the home in two partitions. It still knows its sources from
// the first, but missed the service in between by owners that it cannot reach
// now.
func TestReturningHomeCatchesUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var main, spare Home
	var a, b Ledger
	a.Charge(now, key, 100)
	sendReport(now, &main, "main", &a, 0)
	sendReport(now, &spare, "spare", &a, 0)
	b.Charge(now, key, 1000)
	sendReport(now, &main, "main", &b, 1)
	sendReport(now, &main, "main", &a, 0)
	a.Charge(now, key, 10)
	now = now.Add(3 * MaxReportInterval)
	c.Assert(sendReport(now, &spare, "spare", &a, 0), qt.Equals, uint64(1110))
	c.Assert(sendReport(now, &main, "main", &a, 0), qt.Equals, uint64(1110))
}

// TestEchoAfterPartitionIsIgnored guards against an echo undoing a correction
// after a partition. The echo comes from an owner on the other side, which did
// not receive the correction.
func TestEchoAfterPartitionIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var main, spare Home
	var a, b Ledger
	a.Charge(now, key, 1000)
	sendReport(now, &main, "main", &a, 0)
	sendReport(now, &main, "main", &b, 1)
	a.Charge(now, key, -800)
	b.Charge(now, key, 50)
	sendReport(now, &main, "main", &a, 0)
	sendReport(now, &spare, "spare", &b, 1)
	now = now.Add(MaxReportInterval)
	sendReport(now, &main, "main", &a, 0)
	now = now.Add(MaxReportInterval)
	sendReport(now, &main, "main", &a, 0)
	now = now.Add(MaxReportInterval)
	c.Assert(sendReport(now, &main, "main", &b, 1), qt.Equals, uint64(250))
}

// TestIdleWorkspaceIsLifted checks that a workspace is lifted after it was idle,
// but not while it was backlogged at another owner.
func TestIdleWorkspaceIsLifted(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var home Home
	var a, b Ledger
	r := a.MakeReport(now, key, "home", 5000, true)
	c.Assert(home.ApplyReport(now, source(0), key.Pool, r).Value, qt.Equals, uint64(5000))
	now = now.Add(IdleGracePeriod / 2)
	r = b.MakeReport(now, key, "home", 9000, true)
	c.Assert(home.ApplyReport(now, source(1), key.Pool, r).Value, qt.Equals, uint64(5000))
	now = now.Add(2 * IdleGracePeriod)
	r = b.MakeReport(now, key, "home", 9000, true)
	c.Assert(home.ApplyReport(now, source(1), key.Pool, r).Value, qt.Equals, uint64(9000))

	// No workspace is lifted just after a membership change.
	now = now.Add(2 * IdleGracePeriod)
	home.SuspendLifts(now)
	r = a.MakeReport(now, key, "home", 20000, true)
	c.Assert(home.ApplyReport(now, source(0), key.Pool, r).Value, qt.Equals, uint64(9000))
}
