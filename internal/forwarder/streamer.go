package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"papayapaddle/internal/failer"
)

const (
	// maxLineBytes bounds the length of one line of a stream, and maxEventBytes the data of one event.
	maxLineBytes  = 1 << 20
	maxEventBytes = 1 << 20
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 5
	// doneMarker is the data of the event that ends a complete stream.
	doneMarker = "[DONE]"
)

// Event is one event of a model's response stream.
type Event struct {
	// Offset is the number of tokens up to and including this event, or 0 if the engine does
	// not number its events.
	Offset int
	Data   []byte
}

// StreamStats holds statistics of a stream.
type StreamStats struct {
	// Tokens is the number of tokens relayed.
	Tokens int
	// TimeToFirstToken is the time to the first token, or 0 if unknown.
	TimeToFirstToken time.Duration
	// MeanTokenInterval is the mean time between tokens, or 0 if unknown.
	MeanTokenInterval time.Duration
	// Resumes is the number of times that the stream was resumed.
	Resumes int
	// Silent reports whether the stream was silent for StallTimeout when it ended.
	Silent bool
}

// EventHandler handles one event of a stream. An error ends the stream.
type EventHandler func(Event) error

// eventReader reads server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
	// tooLong is true once an event has exceeded maxEventBytes.
	tooLong bool
}

func newEventReader(resp *http.Response) *eventReader {
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 16<<10), maxLineBytes)
	return &eventReader{scanner: s}
}

// next returns the next event. ok is false at the end of the response body, whether or not the
// stream is complete, and if an event is too long.
func (r *eventReader) next() (e Event, ok bool) {
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		switch {
		case len(line) == 0:
			if e.Data != nil {
				return e, true
			}
			e = Event{}
		case bytes.HasPrefix(line, []byte("id:")):
			// The offset stays 0 if the ID is not a number.
			e.Offset, _ = strconv.Atoi(string(bytes.TrimSpace(line[len("id:"):])))
		case bytes.HasPrefix(line, []byte("data:")):
			if len(e.Data)+len(line) > maxEventBytes {
				r.tooLong = true
				return Event{}, false
			}
			if e.Data != nil {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		}
	}
	return Event{}, false
}

// resumableStream is a stream that may be received over several connections of one run. A silent
// connection stays open beside those that resume the stream, until the stream goes on over one of them.
type resumableStream struct {
	forwarder *Forwarder
	server    Server
	request   Request
	handler   EventHandler
	stats     StreamStats
	// offset is the Event.Offset of the last event relayed, or 0 if unknown.
	offset       int
	startedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time

	// conns are the open connections.
	conns    map[*streamConn]bool
	arrivals chan arrival
	// closed is closed when the stream has ended.
	closed    chan struct{}
	receivers sync.WaitGroup
	// silence fires when the stream has not gone on for StallTimeout.
	silence *time.Timer
	silent  bool
}

// streamConn is a connection over which a stream is received.
type streamConn struct {
	// resumes reports whether the connection resumes the stream.
	resumes bool
	cancel  context.CancelFunc
}

// arrival is what a connection received: an event, a response with another status than 200, or the
// error that ended it.
type arrival struct {
	conn     *streamConn
	event    Event
	response *Response
	err      error
}

// ForwardStream sends a model request and passes each event of the response stream to the handler.
// If the connection breaks or is silent, it resumes the stream on the same engine. The error is nil
// only after the [DONE] event. A response with another status than 200 is returned as a Response.
func (f *Forwarder) ForwardStream(
	ctx context.Context, s Server, req Request, handler EventHandler,
) (*Response, StreamStats, error) {
	r := &resumableStream{
		forwarder: f, server: s, request: req, handler: handler, startedAt: time.Now(),
		conns: map[*streamConn]bool{}, arrivals: make(chan arrival), closed: make(chan struct{}),
		silence: time.NewTimer(StallTimeout),
	}
	response, err := r.run(ctx)
	r.finishStats()
	return response, r.stats, err
}

// run opens the first connection and relays what arrives over this one and those that resume it.
func (r *resumableStream) run(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		r.silence.Stop()
		close(r.closed)
		r.receivers.Wait()
	}()
	r.open(ctx, r.request, false)
	for {
		select {
		case <-r.silence.C:
			r.handleSilence(ctx)
		case a := <-r.arrivals:
			if !r.conns[a.conn] {
				continue
			}
			if a.response != nil {
				return a.response, nil
			}
			if a.err == nil {
				done, err := r.relay(a)
				if done || err != nil {
					return nil, err
				}
				continue
			}
			if err := r.handleFailure(ctx, a); err != nil {
				return nil, err
			}
		}
	}
}

// canResume reports whether the stream can be resumed. After a silence without any event, the engine
// may only be slow to produce its first token. Resuming at offset 0 then continues the run instead of
// starting it again; it would repeat events that have no numbers.
func (r *resumableStream) canResume(ctx context.Context) bool {
	return (r.offset > 0 || r.stats.Tokens == 0) && r.stats.Resumes < maxResumes && ctx.Err() == nil
}

// resume opens one more connection, which continues the run.
func (r *resumableStream) resume(ctx context.Context) {
	r.stats.Resumes++
	r.open(ctx, Request{
		ID:         r.request.ID,
		Method:     http.MethodGet,
		Path:       fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(r.request.ID), r.offset),
		Idempotent: true, OnHeader: r.request.OnHeader,
	}, true)
}

// handleSilence resumes the stream beside the silent connections. If it can't, it reports the silence.
func (r *resumableStream) handleSilence(ctx context.Context) {
	r.silence.Reset(StallTimeout)
	r.stats.Silent = true
	r.forwarder.CloseIdle(r.server.Address)
	if r.canResume(ctx) {
		r.resume(ctx)
		return
	}
	r.reportSilence(true)
}

func (r *resumableStream) reportSilence(silent bool) {
	if silent == r.silent && !silent {
		return
	}
	r.silent = silent
	if r.request.OnSilence != nil {
		r.request.OnSilence(silent)
	}
}

// handleFailure handles a connection that has ended. It returns an error if the stream can't go on.
func (r *resumableStream) handleFailure(ctx context.Context, a arrival) error {
	delete(r.conns, a.conn)
	kind := failer.KindOf[Kind](a.err)
	if !a.conn.resumes && (kind == KindNotSent || kind == KindRefused) {
		return a.err
	}
	if len(r.conns) > 0 {
		if kind == KindStreamNotFound {
			// The run may only be found at the silent connection, if at all.
			r.reportSilence(true)
		}
		return nil
	}
	if kind != KindResponseLost || r.offset == 0 || !r.canResume(ctx) {
		return a.err
	}
	r.silence.Reset(StallTimeout)
	r.resume(ctx)
	return nil
}

// open sends req on a connection of its own.
func (r *resumableStream) open(ctx context.Context, req Request, resumes bool) {
	ctx, cancel := context.WithCancel(ctx)
	c := &streamConn{resumes: resumes, cancel: cancel}
	r.conns[c] = true
	r.receivers.Go(func() {
		defer cancel()
		response, err := r.receive(ctx, c, req)
		if response == nil && err == nil {
			return
		}
		select {
		case r.arrivals <- arrival{conn: c, response: response, err: err}:
		case <-r.closed:
		}
	})
}

// receive sends req and passes on the events of the response. It returns a Response only if the status
// is not 200, and no error if the stream is complete.
func (r *resumableStream) receive(ctx context.Context, c *streamConn, req Request) (*Response, error) {
	x, err := r.forwarder.send(ctx, r.server, req)
	if err != nil {
		return nil, err
	}
	defer x.close()
	if err := checkResponse(x.resp, r.server, req); err != nil {
		if c.resumes && failer.KindOf[Kind](err) == KindRefused {
			// The server refused to resume the stream, but may have executed the original request.
			return nil, failer.Wrap("resume "+req.ID, KindStreamNotFound, err)
		}
		return nil, err
	}
	if x.resp.StatusCode != http.StatusOK {
		return errorResponse(c, x, req)
	}
	events := newEventReader(x.resp)
	for {
		e, ok := events.next()
		if events.tooLong {
			return nil, failer.New("forward", KindResponseLost, "an event is larger than "+strconv.Itoa(maxEventBytes)+" bytes")
		}
		if !ok {
			return nil, failer.New("forward", KindResponseLost, "the stream ended without its closing marker")
		}
		select {
		case r.arrivals <- arrival{conn: c, event: e}:
		case <-ctx.Done():
			return nil, failer.Wrap("forward", KindResponseLost, ctx.Err())
		}
		if string(e.Data) == doneMarker {
			return nil, nil
		}
	}
}

// errorResponse returns the engine's error response to the original request, or
// KindStreamNotFound if a resume failed.
func errorResponse(c *streamConn, x *exchange, req Request) (*Response, error) {
	if c.resumes {
		return nil, failer.New("resume "+req.ID, KindStreamNotFound, "the engine does not have the stream")
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(http.MaxBytesReader(nil, x.resp.Body, MaxBufferedBytes)); err != nil {
		return nil, failer.Wrap("forward", KindResponseLost, err)
	}
	return &Response{Status: x.resp.StatusCode, Header: x.resp.Header, Body: body.Bytes()}, nil
}

// relay passes an event to the handler and closes the connections over which the stream did not go on.
// done reports whether the stream is complete.
func (r *resumableStream) relay(a arrival) (done bool, err error) {
	if a.event.Offset != 0 && a.event.Offset <= r.offset {
		// A resumed stream may repeat events that were already relayed.
		return false, nil
	}
	for c := range r.conns {
		if c != a.conn {
			c.cancel()
			delete(r.conns, c)
		}
	}
	r.stats.Silent = false
	r.reportSilence(false)
	if string(a.event.Data) == doneMarker {
		return true, nil
	}
	r.recordEvent(a.event)
	if err := r.handler(a.event); err != nil {
		return false, failer.Wrap("forward", KindCallerGone, err)
	}
	// The time that the caller took to read the event is not the engine's.
	r.silence.Reset(StallTimeout)
	return false, nil
}

// recordEvent updates the offset and the statistics.
func (r *resumableStream) recordEvent(e Event) {
	now := time.Now()
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		r.stats.TimeToFirstToken = now.Sub(r.startedAt)
	}
	r.lastTokenAt = now
	if e.Offset > 0 {
		r.offset = e.Offset
		r.stats.Tokens = e.Offset
		return
	}
	r.stats.Tokens++
}

// finishStats computes the mean time between tokens.
func (r *resumableStream) finishStats() {
	if r.stats.Tokens > 1 && r.lastTokenAt.After(r.firstTokenAt) {
		r.stats.MeanTokenInterval = r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.stats.Tokens)
	}
}
