package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["burstbody"] = burstbody }

const (
	// burstUsers come at once, calmUsers without the disruption.
	burstUsers = 600
	calmUsers  = 20
	// userGap is the time between two of them: 267 requests/s of the site, times 2.6.
	userGap = 1440 * time.Microsecond
	// burstBodyBytes is a tenth of maxBodyBytes.
	burstBodyBytes = 419430
	// burstAttempts is how often a user sends a request that is refused.
	burstAttempts = 2
)

// burstbody lets many users come at once whose bodies are long.
func burstbody(l *lab) {
	zones := []string{"quimper", "brest", "lorient"}
	var servers []*server
	for i := range 18 {
		s := l.newServer(fmt.Sprintf("i-%02d", i), func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			stream(w, r, 40, 50*time.Millisecond)
		})
		servers = append(servers, s)
		l.store.put("servers", s.id, entry("papaya-pool", s.address, zones[i%3], 64, "ready", l.began.UnixMilli()))
	}
	l.store.put("op", "config", config(1, route("fiche", "/fiche/", "streaming", "papaya-pool", 15000, 800, 1, false)))
	r := l.newRouter("edge-1", "quimper", func(s map[string]any) {
		limits := s["limits"].(map[string]any)
		limits["memoryMb"], limits["maxFds"] = 134, 4100
		s["zones"] = map[string]string{"quimper": "bretagne-ouest", "brest": "bretagne-ouest", "lorient": "bretagne-ouest"}
		s["region"] = "bretagne-ouest"
	})
	r.start()
	r.awaitReady()
	time.Sleep(4 * time.Second)
	users := calmUsers
	if l.trouble {
		users = burstUsers
	}
	l.record("%d users come at once", users)
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	served, mixed := 0, 0
	body := strings.Repeat("x", burstBodyBytes)
	for i := range users {
		time.Sleep(userGap)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for attempt := range burstAttempts {
				c, err := net.Dial("tcp", r.callers)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("%04x%04x", i, attempt)
				c.SetDeadline(time.Now().Add(15 * time.Second))
				go io.WriteString(c, head("POST", "/fiche/a", "a.example", id, burstBodyBytes, "Deadline-Ms: 15000", "Api-Key: key-1",
					"Model: m", "Token-Usage: 1068,200", fmt.Sprintf("Prompt-Prefix: a%d:341,b%d:227,c%s:500", i%20, i%100, id))+body)
				a := readAnswer(bufio.NewReader(c), "POST")
				c.Close()
				runs := 0
				for _, s := range servers {
					runs += s.runs(id)
				}
				l.record("request %s: status %d, Server-Stamp %q, %d bytes, whole %v, error %v; servers ran it %d times",
					id, a.status, a.header.Get("Server-Stamp"), len(a.body), a.whole, a.err, runs)
				mu.Lock()
				ends[fmt.Sprintf("status %d stamp %v runs %d", a.status, a.header.Get("Server-Stamp") != "", runs)]++
				success := a.status/100 == 2
				if success && a.header.Get("Server-Stamp") == "" {
					mixed++
				} else if success && a.whole && runs == 1 {
					served++
				}
				mu.Unlock()
				if a.status != 503 && a.status != 408 && a.status != 429 {
					return
				}
				wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				if err != nil {
					wait = 0.3
				}
				time.Sleep(time.Duration(wait * float64(time.Second)))
			}
		}()
	}
	wg.Wait()
	for end, n := range ends {
		l.record("%s: %d", end, n)
	}
	if !l.trouble && served < users {
		l.fail("not all requests were served without the disruption")
	}
	l.verdict(mixed > 0, "%d answers were a success without Server-Stamp; %d of %d users were served", mixed, served, users)
}
