package demonstrator_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkFirstToken measures a one-token stream directly from an engine and through
// an idle router. The difference is the router's overhead.
func BenchmarkFirstToken(b *testing.B) {
	d := startDeployment(qt.New(b), 1)
	for !strings.Contains(streamOneToken(b, d.Members[0].URL()), "[DONE]") {
		// The router takes over its servers first.
		<-time.After(50 * time.Millisecond)
	}
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + d.Cluster.BackendServers[0].Address},
		{"through-router", d.Members[0].URL()},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				streamOneToken(b, c.url)
			}
		})
	}
}

// BenchmarkServiceRequests sends idempotent service requests in parallel. The result
// includes the work of the caller and of the emulated service.
func BenchmarkServiceRequests(b *testing.B) {
	d := startDeployment(qt.New(b), 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, err := http.NewRequest(http.MethodGet, d.Members[0].URL()+"/services/booking/x", nil)
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer key-solar-quotes")
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}

func streamOneToken(b *testing.B, url string) string {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions",
		strings.NewReader(`{"model":"papaya-chat","stream":true,"max_tokens":1}`))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-solar-quotes")
	req.Header.Set("X-Request-Id", "bench")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.Fatal(err)
	}
	return string(body)
}
