package soaker

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"papayapaddle/platform"
)

// balancer polls the readiness of the routers, as the platform's load balancer does.
type balancer struct {
	processes []*process
	// failedProbes are the numbers of consecutive failed probes, in the order of processes.
	failedProbes []atomic.Int32
	client       http.Client
}

func (b *balancer) run(s *soak) {
	for !s.isStopped() {
		for i, p := range b.processes {
			go func() {
				resp, err := b.client.Get("http://" + p.settings.Listen.Ready + platform.ReadyPath)
				if err == nil {
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					b.failedProbes[i].Store(0)
				} else {
					b.failedProbes[i].Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (b *balancer) inRotation(index int) bool { return b.failedProbes[index].Load() < 2 }

func (b *balancer) allReady() bool {
	for i := range b.processes {
		if b.failedProbes[i].Load() > 0 {
			return false
		}
	}
	return true
}

// pickRouter returns a random router in rotation. If fewer than half of the routers are in
// rotation, it picks from all of them.
func (b *balancer) pickRouter(rng *rand.Rand) *process {
	var candidates []*process
	for i, p := range b.processes {
		if b.inRotation(i) {
			candidates = append(candidates, p)
		}
	}
	if 2*len(candidates) < len(b.processes) {
		candidates = b.processes
	}
	return candidates[rng.IntN(len(candidates))]
}
