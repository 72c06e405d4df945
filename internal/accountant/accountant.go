// Package accountant tracks the service that each workspace received across the
// fleet, for fair queuing. A router that owns backend servers (an owner) records
// its charges in a Ledger. The home of an account is the router that sums the
// totals of all owners and replies with the fleet-wide value.
//
// Totals are cumulative per incarnation of an owner, so duplicate and late
// reports have no effect. Owners echo the fleet-wide value that they last
// received, which lets a new home recover it. All values are weighted service:
// cost divided by the weight of the workspace.
package accountant

import (
	"math"
	"time"

	"papayapaddle/internal/encoder"
)

const (
	// IdleGracePeriod is how long a workspace may have no backlog before its next
	// backlog lifts its value to the lowest value of the backlogged workspaces. The
	// lift keeps workspaces from accumulating credit while they are idle.
	IdleGracePeriod = 4 * time.Second
	// MaxReportInterval is the longest time between two reports of an account that
	// is backlogged or was charged.
	MaxReportInterval = 2500 * time.Millisecond
	// earlyReportThreshold is the unreported weighted service that makes a report
	// due before MaxReportInterval.
	earlyReportThreshold = 100
	// peerChargeRatio is the estimated service that each other owner charges an
	// account per unit charged locally.
	peerChargeRatio = 1.5
	// AccountTTL is how long an unused account is kept. It bounds memory.
	AccountTTL = 10 * time.Minute
)

// Key identifies an account.
type Key struct {
	Pool      uint32
	Workspace uint32
}

// Source is one incarnation of an owner that sends reports. A router that restarts gets a new
// incarnation.
type Source struct {
	Router      string
	Incarnation uint64
}

// reportedTotal is the part of a fleet-wide value that came from one source.
type reportedTotal struct {
	seq   uint64
	total float64
}

type homeAccount struct {
	fleetValue      float64
	backloggedUntil time.Time
	reportedAt      time.Time
	// rebuildUntil is the end of the period in which echoes are accepted. The
	// period begins with the first report after a gap.
	rebuildUntil time.Time
	reported     map[Source]reportedTotal
}

// Home holds the accounts whose home is this router. The zero value has none.
type Home struct {
	accounts map[Key]*homeAccount
	// liftsAllowedFrom is the end of the suspension of lifts; see SuspendLifts.
	liftsAllowedFrom time.Time
}

// SuspendLifts disables lifts for IdleGracePeriod. After a membership change a
// home may not know yet that a workspace has been backlogged at another owner
// all along, and a lift would wrongly cancel the service that it is still due.
func (h *Home) SuspendLifts(now time.Time) { h.liftsAllowedFrom = now.Add(IdleGracePeriod) }

// ApplyReport adds the total reported by an owner and returns the fleet-wide value.
func (h *Home) ApplyReport(now time.Time, source Source, pool uint32, r encoder.Report) encoder.Account {
	a := h.account(Key{Pool: pool, Workspace: r.Workspace})
	if now.Sub(a.reportedAt) > 2*MaxReportInterval {
		a.rebuildUntil = now.Add(2 * MaxReportInterval)
	}
	a.reportedAt = now
	last, known := a.reported[source]
	if !known {
		// The fleet-wide value may already include a part of this source's total.
		// The source reports that part along with its echo.
		last.total = float64(r.EchoTotal)
	}
	if !known || r.Seq > last.seq {
		added := a.fleetValue + float64(r.Total) - last.total
		// A source sends an echo when the account's home has changed. The echo
		// restores the value at a new home, or at one that was not the home for a
		// while and missed reports. A home that received reports without a gap
		// ignores the echo, which may lack downward corrections and undo them.
		echoed := 0.0
		if r.Echo > 0 && now.Before(a.rebuildUntil) {
			echoed = float64(r.Echo) + float64(r.Total) - float64(r.EchoTotal)
		}
		a.fleetValue = max(0, added, echoed)
		a.reported[source] = reportedTotal{seq: r.Seq, total: float64(r.Total)}
		a.lift(now, r, !now.Before(h.liftsAllowedFrom))
	}
	return encoder.Account{
		Workspace: r.Workspace,
		Value:     uint64(a.fleetValue),
		Included:  uint64(a.reported[source].total),
	}
}

// lift raises the value of a workspace that was idle to the reported floor, the
// lowest value of the other backlogged workspaces. Only the home can decide
// this, since it alone knows whether the workspace was backlogged at another
// owner.
func (a *homeAccount) lift(now time.Time, r encoder.Report, liftsAllowed bool) {
	if !r.Backlogged {
		return
	}
	if liftsAllowed && !now.Before(a.backloggedUntil) {
		a.fleetValue = max(a.fleetValue, float64(r.Floor))
	}
	a.backloggedUntil = now.Add(IdleGracePeriod)
}

func (h *Home) account(k Key) *homeAccount {
	if h.accounts == nil {
		h.accounts = map[Key]*homeAccount{}
	}
	a := h.accounts[k]
	if a == nil {
		a = &homeAccount{reported: map[Source]reportedTotal{}}
		h.accounts[k] = a
	}
	return a
}

// Expire drops accounts that have not been reported for AccountTTL.
func (h *Home) Expire(now time.Time) {
	for k, a := range h.accounts {
		if now.Sub(a.reportedAt) > AccountTTL {
			delete(h.accounts, k)
		}
	}
}

// Len returns the number of accounts.
func (h *Home) Len() int { return len(h.accounts) }

// ledgerAccount is an owner's record of one account.
type ledgerAccount struct {
	// localTotal is the weighted service charged by this owner.
	localTotal float64
	// fleetValue is the last value received from the home. It includes the first
	// `included` units of localTotal.
	fleetValue float64
	included   float64
	seq        uint64
	// home is the router that replied last. Reports to any other router carry an
	// echo.
	home         string
	chargedAt    time.Time
	nextReportAt time.Time
	// floorUntil is the end of the period after the start of a backlog in which
	// reports include a floor.
	floorUntil       time.Time
	lastBackloggedAt time.Time
}

// Ledger holds the accounts that one owner charges. The zero value is empty.
type Ledger struct {
	// OwnerCount is the number of owners that charge the same accounts, including
	// this one.
	OwnerCount int

	accounts map[Key]*ledgerAccount
}

func (l *Ledger) account(k Key) *ledgerAccount {
	if l.accounts == nil {
		l.accounts = map[Key]*ledgerAccount{}
	}
	a := l.accounts[k]
	if a == nil {
		a = &ledgerAccount{}
		l.accounts[k] = a
	}
	return a
}

// WeightedService estimates the current fleet-wide value of the account.
func (l *Ledger) WeightedService(k Key) float64 {
	a := l.accounts[k]
	if a == nil {
		return 0
	}
	return a.fleetValue + l.unconfirmed(a)
}

// unconfirmed estimates the service that the received value does not include:
// the local charges, plus an estimate for the other owners. They all see the
// same workspace with the lowest value and grant to it until they learn of each
// other's charges.
func (l *Ledger) unconfirmed(a *ledgerAccount) float64 {
	unconfirmed := a.localTotal - a.included
	if unconfirmed <= 0 {
		return unconfirmed
	}
	return unconfirmed * (1 + peerChargeRatio*float64(max(0, l.OwnerCount-1)))
}

// Charge adds weighted service. A negative amount corrects an earlier estimate.
func (l *Ledger) Charge(now time.Time, k Key, amount float64) {
	a := l.account(k)
	a.localTotal = max(0, a.localTotal+amount)
	a.chargedAt = now
}

// ReportsDue lists the charged accounts whose report is due: those with at least
// earlyReportThreshold of unreported service, and those whose report interval
// has passed.
func (l *Ledger) ReportsDue(now time.Time) []Key {
	var keys []Key
	for k, a := range l.accounts {
		unreported := math.Abs(math.Floor(a.localTotal) - a.included)
		if unreported >= earlyReportThreshold || unreported > 0 && !now.Before(a.nextReportAt) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Stale reports whether the account was last reported more than
// MaxReportInterval ago.
func (l *Ledger) Stale(now time.Time, k Key) bool {
	a := l.accounts[k]
	return a == nil || !now.Before(a.nextReportAt)
}

// MakeReport returns the next report of an account for its home.
func (l *Ledger) MakeReport(now time.Time, k Key, home string, floor float64, backlogged bool) encoder.Report {
	a := l.account(k)
	a.seq++
	a.nextReportAt = now.Add(MaxReportInterval)
	r := encoder.Report{Workspace: k.Workspace, Seq: a.seq, Total: uint64(a.localTotal), Backlogged: backlogged}
	if backlogged {
		if now.Sub(a.lastBackloggedAt) > IdleGracePeriod/2 {
			a.floorUntil = now.Add(2 * IdleGracePeriod)
		}
		a.lastBackloggedAt = now
	}
	if backlogged && now.Before(a.floorUntil) {
		r.Floor = uint64(floor)
	}
	if home != a.home {
		r.Echo, r.EchoTotal = uint64(a.fleetValue), uint64(a.included)
	}
	return r
}

// ApplyReply stores the reply of a home. Replies are not ordered by Included: a
// newer one may include less, since corrections are negative.
func (l *Ledger) ApplyReply(home string, pool uint32, reply encoder.Account) {
	a := l.account(Key{Pool: pool, Workspace: reply.Workspace})
	a.fleetValue = float64(reply.Value)
	a.included = float64(reply.Included)
	a.home = home
}

// Expire drops accounts that have not been charged for AccountTTL and whose
// total the home has confirmed.
func (l *Ledger) Expire(now time.Time) {
	for k, a := range l.accounts {
		if now.Sub(a.chargedAt) > AccountTTL && math.Floor(a.localTotal) == a.included {
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

// LocalTotal returns the weighted service that this owner charged the account.
func (l *Ledger) LocalTotal(k Key) float64 {
	if a := l.accounts[k]; a != nil {
		return a.localTotal
	}
	return 0
}
