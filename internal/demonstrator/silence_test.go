package demonstrator_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/emulator"
)

// TestAnswersOfSilentServersSurviveGracefulStop guards against answers that are given up because all servers fall silent
// for some time while their router stops.
func TestAnswersOfSilentServersSurviveGracefulStop(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 1)
	url := d.Members[0].URL()
	// The retries that this takes are more than the retry budget holds.
	const silence = 3900 * time.Millisecond
	var callers sync.WaitGroup
	call := func(method, path, key, body, end string) {
		callers.Go(func() {
			status, _, answer := sendRequest(c, method, url+path, key, body)
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s %s: %s", method, path, answer))
			c.Check(strings.Contains(answer, end), qt.IsTrue, qt.Commentf("%s %s: %s", method, path, answer))
		})
	}
	for range 3 {
		call("POST", "/v1/completions", "", `{"model":"papaya-chat","stream":true,"max_tokens":2000,"user":"v"}`, "data: [DONE]\n\n")
		call("POST", "/v1/completions", "", `{"model":"papaya-chat","max_tokens":2000,"user":"v"}`, "v-1999 ")
	}
	for d.Members[0].Router.Dump().Scheduling.HeldSlots < 6 {
		<-time.After(10 * time.Millisecond)
	}
	for i := range d.Cluster.Engines {
		d.Cluster.Engines[i].SetFault(emulator.Fault{SilentMillis: int(silence.Milliseconds())})
		d.Cluster.Services[i].SetFault(emulator.Fault{SilentMillis: int(silence.Milliseconds())})
	}
	for range 7 {
		call("GET", "/services/booking/visits", "", "", `"run"`)
	}
	call("POST", "/services/booking/visits", "visit-1", `{"day":1}`, `"run"`)
	for d.Members[0].Router.Dump().Scheduling.HeldSlots < 14 {
		<-time.After(10 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*silence)
	defer cancel()
	c.Check(d.Members[0].Router.Stop(ctx), qt.IsNil)
	callers.Wait()
}
