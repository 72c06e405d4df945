package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDuplicateResponseIsDiscarded: a server sends an answer once more, late, on a
// connection that was taken into use again. Each caller gets its own answer, and a copy
// that came while the connection was unused ends it.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	for _, when := range []string{"before the next request", "just before the next answer", "twice before the next answer"} {
		t.Run(when, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go serveDuplicates(conn, when)
				}
			}()
			s := &Sender{Dial: (&net.Dialer{}).DialContext}
			for i := range 6 {
				id := fmt.Sprint("request-", i)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := s.Send(ctx, &Request{
					Server: "s", Address: ln.Addr().String(), Method: "GET", Target: "/", Host: "h",
					Header: http.Header{"Id": {id}}, MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
				})
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, "for "+id)
				resp.Close(true)
				cancel()
			}
		})
	}
}

// serveDuplicates answers requests, and sends each answer once more.
func serveDuplicates(conn net.Conn, when string) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	previous := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\nfor %s", id, len("for "+id), id)
		out := response
		switch {
		case when == "before the next request":
			out += response
		case when == "just before the next answer":
			out = previous + response
		case when == "twice before the next answer":
			out = previous + previous + response
		}
		previous = response
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}
