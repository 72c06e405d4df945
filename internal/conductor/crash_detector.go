package conductor

import (
	"context"
	"sync"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/verifier"
)

const (
	// crashReportWindow is how long after a server ended further losses are taken for its own without
	// another check.
	crashReportWindow = time.Second
	// maxLostRequests limits the requests that wait for one check.
	maxLostRequests = 256
	// silentLossTTL is how long the losses of a silent server are kept. Its entry lapses within three heartbeats if it
	// has ended.
	silentLossTTL = 8 * time.Second
	// maxSilentServers limits the silent servers whose losses are kept.
	maxSilentServers = 256
)

// crashDetector finds out whether servers ended whose connections broke: such a server refuses new connections, or
// is silent until its entry lapses. All exported fields must be set.
type crashDetector struct {
	// Check finds out whether a server outlived a connection that has just broken.
	Check func(context.Context, *cataloger.Server) verifier.Verdict
	// MaySuspect reports whether the end of a server would be evidence against its requests. One that is shutting
	// down ends in any case.
	MaySuspect func(*cataloger.Server) bool
	// OnCrash is called with the requests that a server held when it ended.
	OnCrash func(s *cataloger.Server, lost []quarantiner.LostRequest)

	mu     sync.Mutex
	losses map[uint64]*serverLoss
	// silent are the servers that neither responded nor refused a connection after a loss.
	silent map[uint64]silentLoss
}

// silentLoss is what a silent server has lost.
type silentLoss struct {
	server    *cataloger.Server
	lost      []quarantiner.LostRequest
	keptUntil time.Time
}

// serverLoss is what one incarnation of a server has lost.
type serverLoss struct {
	lost []quarantiner.LostRequest
	// endedUntil is until when the server counts as ended, or zero while it is checked.
	endedUntil time.Time
}

func serverKey(s *cataloger.Server) uint64 { return quarantiner.ServerKey(s.ID, s.StartedUnixMilli) }

// requestLost records a request whose connection broke. It does not block.
func (d *crashDetector) requestLost(s *cataloger.Server, p quarantiner.LostRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.losses == nil {
		d.losses = map[uint64]*serverLoss{}
	}
	l := d.losses[serverKey(s)]
	switch {
	case l == nil:
		d.losses[serverKey(s)] = &serverLoss{lost: []quarantiner.LostRequest{p}}
		go d.check(s)
	case l.endedUntil.IsZero():
		if len(l.lost) < maxLostRequests {
			l.lost = append(l.lost, p)
		}
	default:
		go d.OnCrash(s, []quarantiner.LostRequest{p})
	}
}

// check finds out whether a server ended and reports what it lost.
func (d *crashDetector) check(s *cataloger.Server) {
	verdict := verifier.Outlived
	if d.MaySuspect(s) {
		verdict = d.Check(context.Background(), s)
	}
	ended := verdict == verifier.Ended
	d.mu.Lock()
	l := d.losses[serverKey(s)]
	lost := l.lost
	if ended {
		l.lost, l.endedUntil = nil, time.Now().Add(crashReportWindow)
		time.AfterFunc(crashReportWindow, func() { d.forget(s) })
	} else {
		delete(d.losses, serverKey(s))
	}
	if verdict == verifier.Unproven {
		d.keepSilent(s, lost)
	}
	d.mu.Unlock()
	if ended {
		d.OnCrash(s, lost)
	}
}

func (d *crashDetector) forget(s *cataloger.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.losses, serverKey(s))
}

// keepSilent keeps the losses of a silent server. The lock must be held.
func (d *crashDetector) keepSilent(s *cataloger.Server, lost []quarantiner.LostRequest) {
	if d.silent == nil {
		d.silent = map[uint64]silentLoss{}
	}
	kept, known := d.silent[serverKey(s)]
	if !known && len(d.silent) >= maxSilentServers {
		return
	}
	kept.server, kept.keptUntil = s, time.Now().Add(silentLossTTL)
	kept.lost = append(kept.lost, lost...)
	kept.lost = kept.lost[:min(len(kept.lost), maxLostRequests)]
	d.silent[serverKey(s)] = kept
}

// handleServerList reports the silent servers that are no longer listed, or listed as another incarnation. One
// that shuts down has not crashed.
func (d *crashDetector) handleServerList(servers map[string]*cataloger.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, l := range d.silent {
		listed := servers[l.server.ID]
		gone := listed == nil || !listed.SameIncarnation(l.server)
		if gone || listed.Draining || time.Now().After(l.keptUntil) {
			delete(d.silent, key)
		}
		if gone && time.Now().Before(l.keptUntil) {
			go d.OnCrash(l.server, l.lost)
		}
	}
}
