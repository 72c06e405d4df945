// Package forwarder sends a request to a backend server and relays the response. Its errors tell
// whether any byte of the request may have reached the server.
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

	"papayapaddle/internal/excluder"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/validator"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request was written to a connection.
	KindNotSent Kind = "not sent"
	// KindRefused means that the server responded with a status that is declared to mean that
	// it did not execute the request.
	KindRefused Kind = "refused by the server"
	// KindResponseLost means that the request may have been executed, but no complete response
	// was received.
	KindResponseLost Kind = "answer lost"
	// KindResponseMismatch means that the response carries the ID of another request.
	KindResponseMismatch Kind = "answer to another request"
	// KindStreamNotFound means that the engine cannot resume the stream.
	KindStreamNotFound Kind = "stream gone"
	// KindCallerGone means that the EventHandler returned an error, usually because the caller
	// disconnected.
	KindCallerGone Kind = "caller gone"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// StallTimeout is the time without progress after which a connection is considered silent. Its
	// server may be sound and go on.
	StallTimeout = 1200 * time.Millisecond
	// MaxBufferedBytes is the size of the largest response that is buffered.
	MaxBufferedBytes = 4 << 20
	// maxIdleConnsPerServer bounds the idle connections to one server.
	maxIdleConnsPerServer = 8
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 30 * time.Second
)

// RequestIDHeader carries the request ID to the server, which echoes it in the response.
const RequestIDHeader = "X-Request-Id"

// LimitHeader is the response header in which a server names the requests a second that it takes from all
// routers together.
const LimitHeader = "X-Request-Limit"

// DecodeLimit returns the limit that a response names, in requests a second. One that is no number from 0 on is
// ignored, and the lowest of several holds.
func DecodeLimit(h http.Header) (perSecond float64, named bool) {
	for _, v := range h.Values(LimitHeader) {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) {
			continue
		}
		if !named || n < perSecond {
			perSecond, named = n, true
		}
	}
	return perSecond, named
}

// LeavingHeader is the response header in which a server says, with the value 1, that it is shutting down. A server that
// refuses a request with status 503 asks for a pause in PauseHeader, in seconds.
const (
	LeavingHeader = "X-Server-Leaving"
	PauseHeader   = "Retry-After"
)

// ServerNotice is what a response says of its server.
type ServerNotice struct {
	// Leaving says that the server is shutting down.
	Leaving bool
	// Pause is how long the server wants no requests, excluder.MaxPause at most, or 0.
	Pause time.Duration
	// UnreadablePause is the value of a pause that is no number of seconds from 0 on, and is ignored.
	UnreadablePause string
}

// DecodeNotice decodes the notice of a response.
func DecodeNotice(status int, h http.Header) ServerNotice {
	n := ServerNotice{Leaving: h.Get(LeavingHeader) == "1"}
	value := h.Get(PauseHeader)
	if status != http.StatusServiceUnavailable || value == "" {
		return n
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= 0) {
		n.UnreadablePause = value
		return n
	}
	n.Pause = time.Duration(min(seconds, excluder.MaxPause.Seconds()) * float64(time.Second))
	return n
}

// Server is a backend server.
type Server struct {
	Name    string
	Address string
	// NotRunStatuses are the response statuses which mean that the server did not execute the
	// request.
	NotRunStatuses []int
}

// Request is a request to forward.
type Request struct {
	ID         string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// BeforeSend, if not nil, is called for a non-idempotent request once its connection is
	// open. If it returns an error, the request is not sent.
	BeforeSend func(ctx context.Context) error
	// OnHeader, if not nil, is called for the status and header of each response to the request.
	OnHeader func(status int, h http.Header)
	// OnSilence, if not nil, is called with true after each StallTimeout without progress, and with
	// false once the response goes on. The request goes on meanwhile. A stream is silent only if it
	// can't be resumed.
	OnSilence func(silent bool)
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder sends requests to backend servers. Its zero value is ready to use.
type Forwarder struct {
	// Dial opens connections. If it is nil, a net.Dialer is used.
	Dial linker.DialFunc

	mu         sync.Mutex
	transports map[string]*http.Transport
}

func (f *Forwarder) dial(ctx context.Context, address string) (net.Conn, error) {
	dial := f.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return linker.WithWriteErrors(dial)(ctx, "tcp", address)
}

// requestContextKey is the key of the context of the request that a transport dials for.
type requestContextKey struct{}

// dialForRequest dials until the request ends, from whose context http.Transport detaches ctx.
func (f *Forwarder) dialForRequest(ctx context.Context, address string) (net.Conn, error) {
	if request, ok := ctx.Value(requestContextKey{}).(context.Context); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(request, cancel)()
	}
	return f.dial(ctx, address)
}

// transport returns the transport that pools the connections to an address.
func (f *Forwarder) transport(address string) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transports == nil {
		f.transports = map[string]*http.Transport{}
	}
	transport := f.transports[address]
	if transport == nil {
		transport = &http.Transport{
			DialContext:         func(ctx context.Context, _, a string) (net.Conn, error) { return f.dialForRequest(ctx, a) },
			MaxIdleConnsPerHost: maxIdleConnsPerServer,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: validator.MaxHeaderBytes,
		}
		f.transports[address] = transport
	}
	return transport
}

// CloseIdle closes the idle connections to an address. It is called when one connection to the
// address has stalled, since the others may be dead as well.
func (f *Forwarder) CloseIdle(address string) {
	f.mu.Lock()
	transport := f.transports[address]
	delete(f.transports, address)
	f.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.transports {
		t.CloseIdleConnections()
	}
	f.transports = nil
}

// writeTracker is a connection that records whether it was written to.
type writeTracker struct {
	net.Conn
	wrote atomic.Bool
}

func (w *writeTracker) Write(p []byte) (int, error) {
	w.wrote.Store(true)
	return w.Conn.Write(p)
}

// exchange is a request that was sent, with its response.
type exchange struct {
	resp *http.Response
	// mayHaveSent reports whether any byte of the request may have been written.
	mayHaveSent func() bool
	close       func()
}

// send writes the request and returns once the header of the response was received.
func (f *Forwarder) send(ctx context.Context, s Server, req Request) (*exchange, error) {
	if req.Idempotent {
		return f.sendPooled(ctx, s, req)
	}
	return f.sendOnce(ctx, s, req)
}

// sendPooled sends an idempotent request on a pooled connection. It may write the request more
// than once.
func (f *Forwarder) sendPooled(ctx context.Context, s Server, req Request) (*exchange, error) {
	httpReq, err := newHTTPRequest(context.WithValue(ctx, requestContextKey{}, ctx), s, req)
	if err != nil {
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	resp, err := f.transport(s.Address).RoundTrip(httpReq)
	if err != nil {
		return nil, failer.Wrap("forward", KindResponseLost, err)
	}
	return &exchange{
		resp: resp, mayHaveSent: func() bool { return true }, close: func() { resp.Body.Close() },
	}, nil
}

// sendOnce writes the request at most once, on a new connection. After a connection failure,
// http.Transport retries a request that has an Idempotency-Key header or a body that can be read
// again. Here its dial function fails the second time, and GetBody is nil.
func (f *Forwarder) sendOnce(ctx context.Context, s Server, req Request) (*exchange, error) {
	conn, err := f.dial(ctx, s.Address)
	if err != nil {
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(ctx); err != nil {
			conn.Close()
			return nil, err
		}
	}
	// The caller may have disconnected, or the deadline passed, while this process was
	// suspended.
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	tracker := &writeTracker{Conn: conn}
	var dialed atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: validator.MaxHeaderBytes,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if dialed.Swap(true) {
				return nil, failer.New("forward", KindResponseLost, "the request was written already")
			}
			return tracker, nil
		},
	}
	httpReq, err := newHTTPRequest(ctx, s, req)
	if err != nil {
		conn.Close()
		return nil, failer.Wrap("forward", KindNotSent, err)
	}
	httpReq.GetBody = nil
	resp, err := transport.RoundTrip(httpReq)
	if err != nil {
		conn.Close()
		kind := KindResponseLost
		if !tracker.wrote.Load() {
			kind = KindNotSent
		}
		return nil, failer.Wrap("forward", kind, err)
	}
	return &exchange{
		resp: resp, mayHaveSent: tracker.wrote.Load, close: func() { resp.Body.Close(); conn.Close() },
	}, nil
}

// strippedHeaders are not forwarded: the hop-by-hop headers, the caller's API key (Authorization),
// and Content-Length, which depends on the forwarded body.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func newHTTPRequest(ctx context.Context, s Server, req Request) (*http.Request, error) {
	var body io.Reader
	if len(req.Body) > 0 {
		body = bytes.NewReader(req.Body)
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+s.Address+req.Path, body)
	if err != nil {
		return nil, err
	}
	for k, v := range req.Header {
		if !slices.Contains(strippedHeaders, k) {
			httpReq.Header[k] = v
		}
	}
	httpReq.Header.Set(RequestIDHeader, req.ID)
	return httpReq, nil
}

// checkResponse returns an error if the response is malformed or belongs to another request, or if its
// status means that the request was not executed.
func checkResponse(resp *http.Response, s Server, req Request) error {
	if err := validator.CheckResponse(resp); err != nil {
		return failer.Wrap("forward", KindResponseLost, err)
	}
	if responseID := resp.Header.Get(RequestIDHeader); responseID != "" && responseID != req.ID {
		return failer.New("forward", KindResponseMismatch, "the server answered request "+strconv.Quote(responseID))
	}
	if req.OnHeader != nil {
		req.OnHeader(resp.StatusCode, resp.Header)
	}
	if slices.Contains(s.NotRunStatuses, resp.StatusCode) {
		return failer.New("forward", KindRefused, "status "+resp.Status)
	}
	return nil
}

// Forward sends a request and returns the complete response. A response of more than
// MaxBufferedBytes is an error.
func (f *Forwarder) Forward(ctx context.Context, s Server, req Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := watchSilence(func(silent bool) { f.reportSilence(s, req, silent) })
	defer watch.stop()
	x, err := f.send(ctx, s, req)
	if err != nil {
		return Response{}, err
	}
	defer x.close()
	watch.progress()
	if err := checkResponse(x.resp, s, req); err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(progressReader{x.resp.Body, watch}, MaxBufferedBytes+1))
	if err != nil {
		return Response{}, failer.Wrap("forward", KindResponseLost, err)
	}
	if len(body) > MaxBufferedBytes {
		return Response{}, failer.New(
			"forward", KindResponseLost, "the answer is larger than "+strconv.Itoa(MaxBufferedBytes)+" bytes")
	}
	return Response{Status: x.resp.StatusCode, Header: x.resp.Header, Body: body}, nil
}

// reportSilence reports that a request is silent or goes on. After a silence it closes the idle
// connections to the server, so that the next request uses a new one.
func (f *Forwarder) reportSilence(s Server, req Request, silent bool) {
	if silent && req.Idempotent {
		f.CloseIdle(s.Address)
	}
	if req.OnSilence != nil {
		req.OnSilence(silent)
	}
}
