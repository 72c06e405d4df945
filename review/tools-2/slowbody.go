package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["slowbody"] = slowbody }

const (
	slowClients = 20
	// slowPause is how long after the first half of a body its second half is sent.
	slowPause = 800 * time.Millisecond
	// burstClients is the number of requesters that come at once while these bodies are on their way.
	burstClients = 500
	// burstGap is the time between two of them: 295 requests/s of the site, times 2.6.
	burstGap = 1310 * time.Microsecond
	// slowTimeout is the route's timeoutMs, and answerSlack what the rule adds to it.
	slowTimeout = 1500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// abandonAfter is when a requester abandons a stream without an event: eight times the pause of 400 ms.
	abandonAfter = 3200 * time.Millisecond
)

// slowbody sends requests whose bodies take 0.8 s to arrive. Meanwhile many users come at once.
func slowbody(l *lab) {
	zones := []string{"graz-a", "graz-b", "leoben-c"}
	for i := range 18 {
		id := fmt.Sprintf("i-%02d", i)
		s := l.newServer(id, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/tariff/") {
				stream(w, r, 5, 20*time.Millisecond)
				return
			}
			stream(w, r, 60, 50*time.Millisecond)
		})
		l.store.put("servers", id, entry("papaya-pool", s.address, zones[i%3], 64, "ready", l.began.UnixMilli()))
	}
	l.store.put("op", "config", config(1,
		route("roof", "/roof/", "streaming", "papaya-pool", 15000, 800, 1, false),
		route("tariff", "/tariff/", "streaming", "papaya-pool", int(slowTimeout.Milliseconds()), 500, 1, false)))
	r := l.newRouter("edge-1", "graz-a", nil)
	r.start()
	r.awaitReady()
	// Longer than stableWindowMs.
	time.Sleep(4 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	overdue, unanswered := 0, 0
	ends := map[string]int{}
	send := func(id, path string, tokens string, i int, pause time.Duration) (answered answer, lasted time.Duration) {
		c, err := net.Dial("tcp", r.callers)
		if err != nil {
			return answer{err: err}, 0
		}
		defer c.Close()
		const bodyBytes = 2400
		h := head("POST", path, "a.example", id, bodyBytes, "Deadline-Ms: 15000", "Api-Key: key-1", "Model: m",
			"Token-Usage: "+tokens, fmt.Sprintf("Prompt-Prefix: a%d:341,b%d:227,c%s:500", i%20, i%100, id))
		begun := time.Now()
		fmt.Fprint(c, h+strings.Repeat("x", bodyBytes/2))
		time.Sleep(pause)
		fmt.Fprint(c, strings.Repeat("y", bodyBytes/2))
		sent := time.Now()
		if pause > 0 {
			c.SetReadDeadline(begun.Add(abandonAfter))
		} else {
			c.SetReadDeadline(begun.Add(14 * time.Second))
		}
		a := readAnswer(bufio.NewReader(c), "POST")
		return a, time.Since(sent)
	}
	for i := range slowClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("5107%04x", i)
			a, lasted := send(id, "/tariff/a", "1068,40", i, slowPause)
			l.record("request %s with a slow body: %v, %v after its last byte", id, a, lasted.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if lasted > slowTimeout {
				overdue++
			}
			if lasted > slowTimeout+answerSlack {
				unanswered++
			}
			ends[fmt.Sprintf("slow body: status %d whole %v", a.status, a.whole)]++
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if l.trouble {
		l.record("%d users come at once", burstClients)
		for i := range burstClients {
			go func() {
				a, _ := send(fmt.Sprintf("b0%06x", i), "/roof/a", "1068,400", i, 0)
				mu.Lock()
				defer mu.Unlock()
				ends[fmt.Sprintf("burst: status %d whole %v", a.status, a.whole)]++
			}()
			time.Sleep(burstGap)
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for end, n := range ends {
		l.record("%s: %d", end, n)
	}
	for _, line := range r.logLines("request=5107") {
		l.record("%s", line)
	}
	l.verdict(unanswered >= 8 && 4*unanswered > overdue,
		"%d of %d requests lasted longer than timeoutMs, %d of them had no answer %v after it", overdue, slowClients, unanswered, answerSlack)
}
