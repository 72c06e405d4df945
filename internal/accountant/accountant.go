// Package accountant adds up the service that workspaces received across the
// fleet. An owner keeps a Ledger of what it granted; each account's Home sums
// the owners' cumulative counts and answers with the fleet-wide value.
//
// A count is cumulative for one incarnation of an owner, so a repeated or late
// report changes nothing. An owner echoes the value it last received, from
// which a lost home is rebuilt. All values are weighted service: cost divided
// by the workspace's weight.
package accountant

import (
	"math"
	"time"

	"papayapaddle/internal/encoder"
)

const (
	// IdleGrace is how long a workspace keeps its account untouched between two
	// backlogs. After it, the workspace is lifted to the least backlogged one,
	// because idling must not save up service.
	IdleGrace = 4 * time.Second
	// ReportWithin is the longest time between two reports of an account that is
	// backlogged or was charged.
	ReportWithin = 2500 * time.Millisecond
	// reportStep is the weighted service after which a report is due early.
	reportStep = 100
	// herd is what each other owner is taken to charge for one unit charged here.
	herd = 1.5
	// ForgetAfter bounds memory: an account without reports is dropped then.
	ForgetAfter = 10 * time.Minute
)

// Key names an account.
type Key struct {
	Pool      uint32
	Workspace uint32
}

// Source is one incarnation of a reporting owner.
type Source struct {
	Router      string
	Incarnation uint64
}

// base is what a home has included of one source.
type base struct {
	seq   uint64
	total float64
}

type homeAccount struct {
	value          float64
	backloggedTill time.Time
	reportedAt     time.Time
	// rebuildTill is until when echoes are looked at, after a time without any
	// report.
	rebuildTill time.Time
	bases       map[Source]base
}

// Home sums accounts. The zero value is an empty home.
type Home struct {
	accounts map[Key]*homeAccount
	// liftFrom is when lifts are decided again; see HoldLifts.
	liftFrom time.Time
}

// HoldLifts keeps all accounts from being lifted for a while. After a change of
// the routers a home may not have heard yet that a workspace was backlogged at
// another owner all the time, and would take its deficit away.
func (h *Home) HoldLifts(now time.Time) { h.liftFrom = now.Add(IdleGrace) }

// Report takes one owner's count in and returns the fleet-wide value.
func (h *Home) Report(now time.Time, from Source, pool uint32, r encoder.Report) encoder.Account {
	a := h.account(Key{Pool: pool, Workspace: r.Workspace})
	if now.Sub(a.reportedAt) > 2*ReportWithin {
		a.rebuildTill = now.Add(2 * ReportWithin)
	}
	a.reportedAt = now
	b, known := a.bases[from]
	if !known {
		// A source without a base says itself what its echo contained.
		b.total = float64(r.EchoTotal)
	}
	if !known || r.Seq > b.seq {
		added := a.value + float64(r.Total) - b.total
		// An echo is told when the source comes from another home. It rebuilds a
		// home that was lost, or that was no home for a while and missed what
		// others reported elsewhere. A home that heard reports all the time knows
		// better: the echo may lack corrections downwards, and would undo them.
		echoed := 0.0
		if r.Echo > 0 && now.Before(a.rebuildTill) {
			echoed = float64(r.Echo) + float64(r.Total) - float64(r.EchoTotal)
		}
		a.value = max(0, added, echoed)
		a.bases[from] = base{seq: r.Seq, total: float64(r.Total)}
		a.lift(now, r, !now.Before(h.liftFrom))
	}
	return encoder.Account{
		Workspace: r.Workspace,
		Value:     uint64(a.value),
		Included:  uint64(a.bases[from].total),
	}
}

// lift raises a workspace that comes back from idling to the least backlogged
// one. Only the home decides this, since only it knows whether the workspace
// was backlogged at any other owner.
func (a *homeAccount) lift(now time.Time, r encoder.Report, allowed bool) {
	if !r.Backlogged {
		return
	}
	if allowed && !now.Before(a.backloggedTill) {
		a.value = max(a.value, float64(r.Floor))
	}
	a.backloggedTill = now.Add(IdleGrace)
}

func (h *Home) account(k Key) *homeAccount {
	if h.accounts == nil {
		h.accounts = map[Key]*homeAccount{}
	}
	a := h.accounts[k]
	if a == nil {
		a = &homeAccount{bases: map[Source]base{}}
		h.accounts[k] = a
	}
	return a
}

// Expire drops accounts that nobody has reported for ForgetAfter.
func (h *Home) Expire(now time.Time) {
	for k, a := range h.accounts {
		if now.Sub(a.reportedAt) > ForgetAfter {
			delete(h.accounts, k)
		}
	}
}

// Len returns the number of accounts.
func (h *Home) Len() int { return len(h.accounts) }

// account is an owner's part of one account.
type account struct {
	// total is what was charged here.
	total float64
	// value is the fleet-wide value last received, which includes `included` of
	// total.
	value    float64
	included float64
	seq      uint64
	// home is the router that answered last; another one needs the echo.
	home      string
	changedAt time.Time
	reportAt  time.Time
	// floorTill is until when a floor is told, after the backlog began here.
	floorTill    time.Time
	backloggedAt time.Time
}

// Ledger is an owner's side of the accounts. The zero value is empty.
type Ledger struct {
	// Owners is the number of owners that charge the same accounts.
	Owners int

	accounts map[Key]*account
}

func (l *Ledger) account(k Key) *account {
	if l.accounts == nil {
		l.accounts = map[Key]*account{}
	}
	a := l.accounts[k]
	if a == nil {
		a = &account{}
		l.accounts[k] = a
	}
	return a
}

// Value returns the best known fleet-wide value of the account.
func (l *Ledger) Value(k Key) float64 {
	a := l.accounts[k]
	if a == nil {
		return 0
	}
	return a.value + l.pending(a)
}

// pending is what was charged since the value was received: here as counted, and
// presumably at the other owners too, since all of them see the same least
// workspace and grant to it until they hear of each other.
func (l *Ledger) pending(a *account) float64 {
	own := a.total - a.included
	if own <= 0 {
		return own
	}
	return own * (1 + herd*float64(max(0, l.Owners-1)))
}

// Charge adds weighted service; a negative amount corrects an estimate.
func (l *Ledger) Charge(now time.Time, k Key, weighted float64) {
	a := l.account(k)
	a.total = max(0, a.total+weighted)
	a.changedAt = now
}

// Due lists the accounts that a report is due for: those charged by a good part
// of a request since the last one at once, the others in turn.
func (l *Ledger) Due(now time.Time) []Key {
	var keys []Key
	for k, a := range l.accounts {
		moved := math.Abs(math.Floor(a.total) - a.included)
		if moved >= reportStep || moved > 0 && !now.Before(a.reportAt) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Stale says whether the account's fleet-wide value is older than the longest
// time between two reports.
func (l *Ledger) Stale(now time.Time, k Key) bool {
	a := l.accounts[k]
	return a == nil || !now.Before(a.reportAt)
}

// Report makes the report of an account for its home.
func (l *Ledger) Report(now time.Time, k Key, home string, floor float64, backlogged bool) encoder.Report {
	a := l.account(k)
	a.seq++
	a.reportAt = now.Add(ReportWithin)
	r := encoder.Report{Workspace: k.Workspace, Seq: a.seq, Total: uint64(a.total), Backlogged: backlogged}
	if backlogged {
		if now.Sub(a.backloggedAt) > IdleGrace/2 {
			a.floorTill = now.Add(2 * IdleGrace)
		}
		a.backloggedAt = now
	}
	if backlogged && now.Before(a.floorTill) {
		r.Floor = uint64(floor)
	}
	if home != a.home {
		r.Echo, r.EchoTotal = uint64(a.value), uint64(a.included)
	}
	return r
}

// Install takes a home's answer in. An answer that includes less than an
// earlier one may still be newer, since corrections are negative.
func (l *Ledger) Install(home string, pool uint32, a encoder.Account) {
	acc := l.account(Key{Pool: pool, Workspace: a.Workspace})
	acc.value = float64(a.Value)
	acc.included = float64(a.Included)
	acc.home = home
}

// Expire drops confirmed accounts that have not changed for ForgetAfter.
func (l *Ledger) Expire(now time.Time) {
	for k, a := range l.accounts {
		if now.Sub(a.changedAt) > ForgetAfter && math.Floor(a.total) == a.included {
			delete(l.accounts, k)
		}
	}
}

// Keys lists the accounts.
func (l *Ledger) Keys() []Key {
	keys := make([]Key, 0, len(l.accounts))
	for k := range l.accounts {
		keys = append(keys, k)
	}
	return keys
}

// Len returns the number of accounts.
func (l *Ledger) Len() int { return len(l.accounts) }

// Total returns what this owner charged the account.
func (l *Ledger) Total(k Key) float64 {
	if a := l.accounts[k]; a != nil {
		return a.total
	}
	return 0
}
