package soaker

import (
	"testing"
	"time"

	"papayapaddle/platform/standin"
)

const (
	// maxEvacuationDelay is how long after its evacuation was stored requests may still reach a zone (bounds.evacuateMs).
	maxEvacuationDelay = 5 * time.Second
	// evacuationTime is how long a zone stays evacuated.
	evacuationTime = 8 * time.Second
	// storeCutTime is how long a router is cut off from the store, and hears of evacuations from its peers only.
	storeCutTime = 4 * time.Second
)

// evacuationFaults are what is done while zones are evacuated. The store itself is sound, so that the delay is not extended.
var evacuationFaults = []fault{
	evacuateZone, evacuateZone, evacuateZone, cutOffFromStore, cutOffFromStore, killRouter, stopRouter, stopRouter, rotateKey, drainServer,
}

// Guards against requests that reach an evacuated zone too late, from routers that are cut off from the store, restart or stop
// meanwhile; all zones may be evacuated at once.
func TestSoakEvacuatedZones(t *testing.T) {
	runDeployments(t, []uint64{52000}, 0, time.Duration(*secondsFlag)*time.Second, evacuationFaults, func(d *deployment) {
		d.zones = []string{"zone-1", "zone-2", "zone-3"}
	})
}

// evacuateZone evacuates a zone for a while, unless it is evacuated already.
func evacuateZone(s *soak, _ time.Duration) {
	zone := s.zones[s.rng.IntN(len(s.zones))]
	s.mu.Lock()
	_, evacuated := s.evacuatedAt[zone]
	s.mu.Unlock()
	if evacuated {
		return
	}
	s.cluster.EvacuateZone(zone, standin.EvacuationValue)
	now := time.Now()
	s.mu.Lock()
	if s.evacuatedAt == nil {
		s.evacuatedAt = map[string]time.Time{}
	}
	s.evacuatedAt[zone] = now
	s.mu.Unlock()
	s.events.Printf("event=evacuated zone=%s", zone)
	schedule(evacuationTime, func() { s.endEvacuation(zone, now) })
}

// endEvacuation ends the evacuation of a zone that began at a time, if it has not ended.
func (s *soak) endEvacuation(zone string, began time.Time) {
	s.mu.Lock()
	current := s.evacuatedAt[zone] == began
	if current {
		delete(s.evacuatedAt, zone)
	}
	s.mu.Unlock()
	if current {
		s.cluster.EndEvacuation(zone)
	}
}

// endEvacuations ends all evacuations.
func (s *soak) endEvacuations() {
	for _, zone := range s.zones {
		s.mu.Lock()
		began, evacuated := s.evacuatedAt[zone]
		s.mu.Unlock()
		if evacuated {
			s.endEvacuation(zone, began)
		}
	}
}

// checkEvacuation checks a request that reached a server. The caller must hold the lock.
func (s *soak) checkEvacuation(server string, now time.Time, report func(string, ...any)) {
	zone := s.cluster.ServerZone(server)
	if at, evacuated := s.evacuatedAt[zone]; evacuated && now.After(at.Add(maxEvacuationDelay)) {
		report("%s was evacuated %v ago", zone, now.Sub(at))
	}
}

// cutOffFromStore cuts a router off from the store.
func cutOffFromStore(s *soak, _ time.Duration) {
	s.markDisturbed(storeCutTime)
	proxy := s.storeProxies[s.rng.IntN(len(s.storeProxies))]
	proxy.refuseNew.Store(true)
	proxy.resetConns()
	schedule(storeCutTime, proxy.clearFaults)
}
