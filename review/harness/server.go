package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a server of a service. It runs in a process of its own, so that it can be killed.
// It prints one line for each request that it runs.
type backend struct {
	id       string
	framed   bool
	interval time.Duration
	pieces   int
	piece    int
	firstMs  time.Duration
	// slots and queue limit the requests that the server takes, 0 for no limit. It turns others away and wants none for retryAfter.
	slots, queue int
	retryAfter   string

	out   sync.Mutex
	mu    sync.Mutex
	taken int
	slot  chan struct{}
}

func runServer(args []string) error {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	b := &backend{}
	listen := f.String("listen", "127.0.0.1:0", "address")
	f.StringVar(&b.id, "id", "", "id of the server")
	f.BoolVar(&b.framed, "framed", true, "whether answers have a length or come in chunks")
	f.DurationVar(&b.interval, "interval", 100*time.Millisecond, "time between two pieces of an answer")
	f.IntVar(&b.pieces, "pieces", 10, "pieces of an answer")
	f.IntVar(&b.piece, "piece", 55, "bytes of a piece")
	f.DurationVar(&b.firstMs, "first", 0, "time before the first piece")
	f.IntVar(&b.slots, "slots", 0, "requests that run at the same time")
	f.IntVar(&b.queue, "queue", 0, "requests that wait")
	f.StringVar(&b.retryAfter, "retry-after", "", "Retry-After of the answer to a request that is turned away")
	if err := f.Parse(args); err != nil {
		return err
	}
	b.slot = make(chan struct{}, max(1, b.slots))
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	b.print("listening %s", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go b.serve(c)
	}
}

func (b *backend) print(format string, args ...any) {
	b.out.Lock()
	defer b.out.Unlock()
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// serve serves one request at a time on a connection.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !b.answer(c, req, body) {
			return
		}
	}
}

// take takes a place of the server and waits for a slot. It returns false if the server is full.
func (b *backend) take() bool {
	if b.slots == 0 {
		return true
	}
	b.mu.Lock()
	full := b.taken >= b.slots+b.queue
	if !full {
		b.taken++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	b.slot <- struct{}{}
	return true
}

func (b *backend) release() {
	if b.slots == 0 {
		return
	}
	<-b.slot
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken--
}

// piecesOf returns the pieces of the answer to a request.
func piecesOf(id string, stream bool, n, size int) []string {
	out := make([]string, n)
	for i := range out {
		text := fmt.Sprintf("%s piece %d of %d ", id, i+1, n)
		text += strings.Repeat("x", max(0, size-len(text)))
		if stream {
			text = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, text)
		}
		out[i] = text
	}
	return out
}

func (b *backend) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Request-Id")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != b.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id, id)
		return err == nil
	}
	if !b.take() {
		b.print("full for %s at %s", id, b.id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", id, b.retryAfter)
		return err == nil
	}
	defer b.release()
	b.print("run %s at %s, %d bytes in, deadline %s", id, b.id, len(body), req.Header.Get("Deadline-Ms"))
	stream := req.Header.Get("Token-Usage") != ""
	pieces := piecesOf(id, stream, b.pieces, b.piece)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n", id, b.id, id)
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	} else {
		head += "Content-Type: text/plain\r\n"
	}
	switch {
	case !b.framed:
		head += "Connection: close\r\n\r\n"
	case stream:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		n := 0
		for _, p := range pieces {
			n += len(p)
		}
		head += "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n"
	}
	time.Sleep(b.firstMs)
	for i, p := range pieces {
		if b.framed && stream {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if i == 0 {
			p = head + p
		} else {
			time.Sleep(b.interval)
		}
		if _, err := io.WriteString(c, p); err != nil {
			b.print("broken %s at %s after %d pieces: %v", id, b.id, i, err)
			return false
		}
	}
	if b.framed && stream {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	b.print("done %s at %s", id, b.id)
	return b.framed
}
