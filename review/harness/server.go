package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	// shed is the share of the requests that the server turns away after SIGUSR1; it wants none for retryAfter then.
	shed       float64
	retryAfter string

	out      sync.Mutex
	shedding atomic.Bool
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
	f.Float64Var(&b.shed, "shed", 0, "share of the requests that are turned away after SIGUSR1")
	f.StringVar(&b.retryAfter, "retry-after", "", "Retry-After of the answer to a request that is turned away")
	if err := f.Parse(args); err != nil {
		return err
	}
	shed := make(chan os.Signal, 1)
	signal.Notify(shed, syscall.SIGUSR1)
	go func() {
		<-shed
		b.shedding.Store(true)
	}()
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
	if b.shedding.Load() && rand.Float64() < b.shed {
		b.print("turned-away %s at %s", id, b.id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", id, b.retryAfter)
		return err == nil
	}
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
	if last := req.Header.Get("Last-Event-Id"); stream && last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 || n > len(pieces) {
			b.print("odd Last-Event-Id %q of %s at %s", last, id, b.id)
			return false
		}
		b.print("continues %s at %s after %d", id, b.id, n)
		pieces = pieces[n:]
	}
	time.Sleep(b.firstMs)
	if len(pieces) == 0 {
		pieces = []string{""}
	}
	for i, p := range pieces {
		if b.framed && stream && p != "" {
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
