package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["latebody"] = latebody }

const (
	// lateClients is the number of requests of each of two kinds.
	lateClients = 10
	// latePause is how long after the first half of a body its second half is sent. It is less than the requester's
	// deadline and the first timeoutMs of the route, and more than the second one.
	latePause       = 1500 * time.Millisecond
	lateTimeout     = 3000
	lateTimeoutNext = 1000
)

// latebody sends requests whose bodies take 1.5 s to arrive, after the operator has lowered timeoutMs to 1 s.
func latebody(l *lab) {
	reply := func(r *http.Request) string { return "reserved " + r.Header.Get("Request-Id") }
	app := l.newServer("i-app", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(15 * time.Millisecond)
		stamp(w, r.Header.Get("Request-Id"))
		io.WriteString(w, reply(r))
	})
	model := l.newServer("i-model", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		stream(w, r, 5, 20*time.Millisecond)
	})
	l.store.put("servers", app.id, entry("booking-app", app.address, "graz-a", 6, "ready", l.began.UnixMilli()))
	l.store.put("servers", model.id, entry("papaya-pool", model.address, "graz-a", 64, "ready", l.began.UnixMilli()))
	configure := func(version, timeoutMs int) {
		l.store.put("op", "config", config(version,
			route("book", "/book/", "non_idempotent", "booking-app", timeoutMs, 120, 1, false),
			route("tariff", "/tariff/", "streaming", "papaya-pool", timeoutMs, 500, 1, false)))
		l.record("config %d confirmed, timeoutMs %d", version, timeoutMs)
	}
	configure(1, lateTimeout)
	r := l.newRouter("edge-1", "graz-a", nil)
	r.start()
	r.awaitReady()
	if l.trouble {
		configure(2, lateTimeoutNext)
	}
	// Longer than configApplyMs.
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	sound, mixed := 0, 0
	for i := range 2 * lateClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path, id, server := "/book/a", fmt.Sprintf("60%06x", i), app
			if i%2 == 1 {
				path, server = "/tariff/a", model
			}
			c, err := net.Dial("tcp", r.callers)
			l.must(err)
			defer c.Close()
			const bodyBytes = 600
			fmt.Fprint(c, head("POST", path, "a.example", id, bodyBytes, "Deadline-Ms: 3000", "Api-Key: key-1", "Model: m",
				"Token-Usage: 300,40", "Prompt-Prefix: a1:100,b1:100,c"+id+":100")+strings.Repeat("x", bodyBytes/2))
			sent := time.Now()
			answers := make(chan answer, 1)
			go func() {
				c.SetReadDeadline(sent.Add(3 * time.Second))
				answers <- readAnswer(bufio.NewReader(c), "POST")
			}()
			var a answer
			select {
			case a = <-answers:
			case <-time.After(latePause):
				fmt.Fprint(c, strings.Repeat("y", bodyBytes/2))
				a = <-answers
			}
			runs := server.runs(id)
			l.record("request %s %s: %v, header %v, after %v; the server ran it %d times", id, path, a, a.header,
				a.at.Sub(sent).Round(time.Millisecond), runs)
			mu.Lock()
			defer mu.Unlock()
			ends[fmt.Sprintf("%s status %d stamp %v runs %d", path, a.status, a.header.Get("Server-Stamp") != "", runs)]++
			switch success := a.status/100 == 2; {
			case success && a.header.Get("Server-Stamp") == "":
				mixed++
			case success && a.whole && runs == 1:
				sound++
			}
		}()
	}
	wg.Wait()
	for end, n := range ends {
		l.record("%s: %d", end, n)
	}
	for _, line := range r.logLines("request=60") {
		l.record("%s", line)
	}
	if !l.trouble && sound < 2*lateClients {
		l.fail("not all requests were served without the disruption")
	}
	l.verdict(mixed > 0, "%d of %d requests got a success without Server-Stamp, that no server had run; %d were served", mixed, 2*lateClients, sound)
}
