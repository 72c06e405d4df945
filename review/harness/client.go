package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id       string
	status   int
	stamp    string
	body     string
	complete bool
	err      error
	took     time.Duration
}

// waitReady waits until all routers say that they are ready.
func (d *deployment) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, r := range d.routers {
		for {
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get("http://" + r.ready + "/api/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// raw returns a request. Streams name a prompt.
func raw(method, prefix, id, key string, deadline time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", method, prefix, "2f", host, id, deadline.Milliseconds(), key)
	if prefix == streamPrefix || prefix == resumePrefix {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: 1460,600\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f%s:410,%s:250\r\n", id[len(id)-2:], id)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, br *bufio.Reader, id, request string, deadline time.Duration) (a answer) {
	a.id = id
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	_ = c.SetDeadline(start.Add(deadline + 500*time.Millisecond))
	if _, a.err = io.WriteString(c, request); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	b, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(b), err, err == nil
	return a
}

// send sends a request on a new connection.
func send(address, method, prefix, id, key string, deadline time.Duration, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.Close()
	return exchange(c, bufio.NewReader(c), id, raw(method, prefix, id, key, deadline, body), deadline)
}

func (a answer) String() string {
	return fmt.Sprintf("request %s: status %d, stamp %q, %d bytes, complete %v, %v, err %v", a.id, a.status, a.stamp, len(a.body), a.complete, a.took.Round(time.Millisecond), a.err)
}
