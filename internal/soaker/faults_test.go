package soaker

import (
	"slices"
	"syscall"
	"time"

	"papayapaddle/platform/standin"
)

// fault is one kind of fault. It is injected for a time and ends by itself.
type fault func(s *soak, d time.Duration)

// faults are drawn with the same weight each. Planned ones do not count as
// disturbance.
var faults = []fault{kill, kill, pause, pause, killAll, stop, stop, stop, hangUp, linkToStore, linkToStore, linkToServer, linkToServer,
	storeDown, compact, badServers, badServers, rotateKey, rotateKey, rotateKey, leave}

// inject draws faults until the time is over; they come in series and overlap.
func (s *soak) inject(total time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end); {
		d := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
		faults[s.rng.IntN(len(faults))](s, d)
		time.Sleep(time.Duration(s.rng.IntN(1200)) * time.Millisecond)
	}
}

// after runs f when a fault's time is over.
func after(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (s *soak) drawProcess() *process { return s.processes[s.rng.IntN(len(s.processes))] }

func kill(s *soak, _ time.Duration) {
	s.disturb(time.Second)
	s.drawProcess().signal(syscall.SIGKILL)
}

func killAll(s *soak, _ time.Duration) {
	s.disturb(time.Second)
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
	}
}

func pause(s *soak, d time.Duration) {
	s.disturb(d)
	p := s.drawProcess()
	p.signal(syscall.SIGSTOP)
	after(d, func() { p.signal(syscall.SIGCONT) })
}

func stop(s *soak, _ time.Duration) { s.drawProcess().signal(syscall.SIGTERM) }

func hangUp(s *soak, _ time.Duration) { s.drawProcess().signal(syscall.SIGHUP) }

// harm injects one of the faults of a link.
func (s *soak) harm(l *link, d time.Duration) {
	switch s.rng.IntN(6) {
	case 0:
		l.delay.Store(int64(time.Duration(10+s.rng.IntN(300)) * time.Millisecond))
	case 1:
		l.stallTo.Store(true)
	case 2:
		l.stallFrom.Store(true)
	case 3:
		l.refuse.Store(true)
		l.reset()
	case 4:
		l.reset()
	case 5:
		l.silence()
	}
	after(d, l.heal)
}

func linkToStore(s *soak, d time.Duration) {
	s.disturb(d)
	if s.rng.IntN(3) > 0 {
		s.harm(s.toStore[s.rng.IntN(len(s.toStore))], d)
		return
	}
	for _, l := range s.toStore {
		s.harm(l, d)
	}
}

func linkToServer(s *soak, d time.Duration) {
	s.disturb(d)
	s.harm(s.toServers[s.servers[s.rng.IntN(len(s.servers))].ID], d)
}

func storeDown(s *soak, d time.Duration) {
	s.disturb(d)
	s.site.Store.SetDown(true)
	after(d, func() { s.site.Store.SetDown(false) })
}

func compact(s *soak, _ time.Duration) {
	s.disturb(0)
	s.site.Store.Compact()
}

func badServers(s *soak, d time.Duration) {
	s.disturb(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conductTill = time.Now().Add(d)
}

func rotateKey(s *soak, _ time.Duration) { s.rotate(workspaces[s.rng.IntN(len(workspaces))]) }

// leave makes a server leave for good, as long as two of its service stay.
func leave(s *soak, _ time.Duration) {
	for _, v := range s.servers {
		service := serviceOf(s.site, v)
		left := 0
		s.mu.Lock()
		for id := range s.draining {
			if slices.ContainsFunc(s.servers, func(o *standin.Server) bool { return o.ID == id && serviceOf(s.site, o) == service }) {
				left++
			}
		}
		_, leaving := s.draining[v.ID]
		s.mu.Unlock()
		if leaving || left > 0 || s.rng.IntN(3) > 0 {
			continue
		}
		s.site.PutServer(v.ID, service, "draining")
		s.mu.Lock()
		s.draining[v.ID] = time.Now()
		s.mu.Unlock()
		return
	}
}

// heal ends all faults.
func (s *soak) heal() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, l := range s.toStore {
		l.heal()
	}
	for _, l := range s.toServers {
		l.heal()
	}
	s.site.Store.SetDown(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conductTill = time.Time{}
}
