package demonstrator_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkFirstToken compares a one-token stream straight from an engine with
// the same through an idle router; the difference is what a router adds.
func BenchmarkFirstToken(b *testing.B) {
	d := start(qt.New(b), 1)
	for !strings.Contains(oneToken(b, d.Members[0].URL()), "[DONE]") {
		// The router takes its servers over first.
		<-time.After(50 * time.Millisecond)
	}
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + d.Host.BackendServers[0].Address},
		{"through-router", d.Members[0].URL()},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				oneToken(b, c.url)
			}
		})
	}
}

// BenchmarkRequests sends idempotent calls of a plain service in parallel; the
// stand-in's and the caller's work are in the figure.
func BenchmarkRequests(b *testing.B) {
	d := start(qt.New(b), 1)
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

func oneToken(b *testing.B, url string) string {
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
