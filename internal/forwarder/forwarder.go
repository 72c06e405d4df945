// Package forwarder sends one request to one backend server and tells exactly
// what became of it: the whole answer, a part of it, or nothing, and whether
// any byte of the request can have reached the server.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = "not sent"
	// KindRefused means that the server declared that it did not run it.
	KindRefused Kind = "refused by the server"
	// KindResponseLost means that the request may have run and the answer is not whole.
	KindResponseLost Kind = "answer lost"
	// KindStalled is a KindLost whose connection went quiet.
	KindStalled Kind = "connection silent"
	// KindResponseMismatch means that the server answered another request.
	KindResponseMismatch Kind = "answer to another request"
	// KindStreamNotFound means that the engine cannot take the stream up again.
	KindStreamNotFound Kind = "stream gone"
	// KindCallerGone means that the caller went away or could not be written to.
	KindCallerGone Kind = "caller gone"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = time.Second
	// StallTimeout is how long an answer may be quiet before its connection is
	// given up and another one tried.
	StallTimeout = 1200 * time.Millisecond
	// MaxBufferedBytes is the largest answer that is held until it is whole.
	MaxBufferedBytes = 4 << 20
	// idleConns is the number of unused connections kept to one server.
	idleConns = 8
	// idleTimeout closes a connection that was not used for so long.
	idleTimeout = 30 * time.Second
)

// RequestIDHeader carries the request's id to the server, which echoes it.
const RequestIDHeader = "X-Request-Id"

// Server is where to send.
type Server struct {
	Name    string
	Address string
	// NotRunStatuses are declared to mean that the server did not run it.
	NotRunStatuses []int
}

// Request is one request to forward.
type Request struct {
	ID         string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// BeforeSend is called on a fresh connection just before the first byte is
	// written; an error keeps the request from being sent. It may be nil.
	BeforeSend func(ctx context.Context) error
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder sends requests. The zero value dials plain TCP.
type Forwarder struct {
	// Dial opens connections; nil means a plain dialer.
	Dial linker.DialFunc

	mu         sync.Mutex
	transports map[string]*http.Transport
}

func (f *Forwarder) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if f.Dial != nil {
		return f.Dial(ctx, "tcp", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// pooled returns the transport for idempotent requests to an address.
func (f *Forwarder) pooled(address string) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transports == nil {
		f.transports = map[string]*http.Transport{}
	}
	t := f.transports[address]
	if t == nil {
		t = &http.Transport{
			DialContext:         func(ctx context.Context, _, a string) (net.Conn, error) { return f.dial(ctx, a) },
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
		f.transports[address] = t
	}
	return t
}

// CloseIdle drops the unused connections to an address, as one of them went
// silent and the others may be of the same age.
func (f *Forwarder) CloseIdle(address string) {
	f.mu.Lock()
	t := f.transports[address]
	delete(f.transports, address)
	f.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// Close drops all unused connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.transports {
		t.CloseIdleConnections()
	}
	f.transports = nil
}

// writeTracker notes whether a byte of the request was written.
type writeTracker struct {
	net.Conn
	wrote atomic.Bool
}

func (w *writeTracker) Write(p []byte) (int, error) {
	w.wrote.Store(true)
	return w.Conn.Write(p)
}

// exchange is one request on its way.
type exchange struct {
	resp *http.Response
	// sent says whether any byte of the request can have left.
	sent  func() bool
	close func()
}

// send writes the request and returns once the answer's header is there.
func (f *Forwarder) send(ctx context.Context, s Server, j Request) (*exchange, error) {
	if j.Idempotent {
		return f.sendPooled(ctx, s, j)
	}
	return f.sendOnce(ctx, s, j)
}

func (f *Forwarder) sendPooled(ctx context.Context, s Server, j Request) (*exchange, error) {
	req, err := request(ctx, s, j)
	if err != nil {
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	resp, err := f.pooled(s.Address).RoundTrip(req)
	if err != nil {
		return nil, failer.Wrap("forward", KindResponseLost, err)
	}
	return &exchange{resp: resp, sent: func() bool { return true }, close: func() { resp.Body.Close() }}, nil
}

// sendOnce writes the request at most once, on a connection of its own. The
// library would repeat a request that carries an idempotency key, or whose body
// it can read again, on a connection that broke; here it has neither a second
// connection nor a second body.
func (f *Forwarder) sendOnce(ctx context.Context, s Server, j Request) (*exchange, error) {
	conn, err := f.dial(ctx, s.Address)
	if err != nil {
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	if j.BeforeSend != nil {
		if err := j.BeforeSend(ctx); err != nil {
			conn.Close()
			return nil, err
		}
	}
	// The caller may have gone, or the deadline passed, while this process was
	// paused before this point.
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	w := &writeTracker{Conn: conn}
	var used atomic.Bool
	t := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, failer.New("forward", KindResponseLost, "the request was written already")
			}
			return w, nil
		},
	}
	req, err := request(ctx, s, j)
	if err != nil {
		conn.Close()
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	req.GetBody = nil
	resp, err := t.RoundTrip(req)
	if err != nil {
		conn.Close()
		kind := KindResponseLost
		if !w.wrote.Load() {
			kind = KindNotSent
		}
		return nil, failer.Wrap("forward", kind, err)
	}
	return &exchange{resp: resp, sent: w.wrote.Load, close: func() { resp.Body.Close(); conn.Close() }}, nil
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func request(ctx context.Context, s Server, j Request) (*http.Request, error) {
	var body io.Reader
	if len(j.Body) > 0 {
		body = bytes.NewReader(j.Body)
	}
	req, err := http.NewRequestWithContext(ctx, j.Method, "http://"+s.Address+j.Path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range j.Header {
		if !slices.Contains(hopHeaders, k) {
			req.Header[k] = v
		}
	}
	req.Header.Set(RequestIDHeader, j.ID)
	return req, nil
}

// check refuses an answer to another request and one that declares not-run.
func check(resp *http.Response, s Server, j Request) error {
	if echo := resp.Header.Get(RequestIDHeader); echo != "" && echo != j.ID {
		return failer.New("forward", KindResponseMismatch, "the server answered request "+strconv.Quote(echo))
	}
	if slices.Contains(s.NotRunStatuses, resp.StatusCode) {
		return failer.New("forward", KindRefused, "status "+resp.Status)
	}
	return nil
}

// Forward forwards a request and returns its whole answer, or an error that says
// what can have happened. An answer above MaxHeldBytes is an error too.
func (f *Forwarder) Forward(ctx context.Context, s Server, j Request) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if j.Idempotent {
		// Only idempotent work is given up early: it can be sent again.
		watch := time.AfterFunc(StallTimeout, func() { cancel(errSilent) })
		defer watch.Stop()
	}
	x, err := f.send(ctx, s, j)
	if err != nil {
		return Response{}, f.classify(ctx, s, err)
	}
	defer x.close()
	if err := check(x.resp, s, j); err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, MaxBufferedBytes+1))
	if err != nil {
		return Response{}, f.classify(ctx, s, failer.Wrap("forward", KindResponseLost, err))
	}
	if len(body) > MaxBufferedBytes {
		return Response{}, failer.New("forward", KindResponseLost, "the answer is larger than "+strconv.Itoa(MaxBufferedBytes)+" bytes")
	}
	return Response{Status: x.resp.StatusCode, Header: x.resp.Header, Body: body}, nil
}

var errSilent = failer.New("forward", KindStalled, "no answer within "+StallTimeout.String())

// classify tells a silent connection from other losses.
func (f *Forwarder) classify(ctx context.Context, s Server, err error) error {
	if context.Cause(ctx) == errSilent {
		f.CloseIdle(s.Address)
		return errSilent
	}
	return err
}
