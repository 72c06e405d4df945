package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"papayapaddle/internal/failer"
)

const (
	// maxLineBytes bounds the length of one line of a stream.
	maxLineBytes = 1 << 20
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
}

// EventHandler handles one event of a stream. An error ends the stream.
type EventHandler func(Event) error

// eventReader reads server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(resp *http.Response) *eventReader {
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 16<<10), maxLineBytes)
	return &eventReader{scanner: s}
}

// next returns the next event. ok is false at the end of the response body, whether or not the
// stream is complete.
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
			if e.Data != nil {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		}
	}
	return Event{}, false
}

// resumableStream is a stream that may be received over several connections.
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
}

// ForwardStream sends a model request and passes each event of the response stream to the handler.
// If the connection breaks or stalls, it resumes the stream on the same engine. The error is nil
// only after the [DONE] event. A response with another status than 200 is returned as a Response.
func (f *Forwarder) ForwardStream(
	ctx context.Context, s Server, req Request, handler EventHandler,
) (*Response, StreamStats, error) {
	r := &resumableStream{forwarder: f, server: s, request: req, handler: handler, startedAt: time.Now()}
	response, err := r.attempt(ctx, req)
	for err != nil && r.canResume(ctx, err) {
		r.stats.Resumes++
		_, err = r.attempt(ctx, r.resumeRequest())
	}
	r.finishStats()
	return response, r.stats, err
}

// canResume reports whether the stream can be resumed: the connection failed, and the offset to
// resume from is known.
func (r *resumableStream) canResume(ctx context.Context, err error) bool {
	kind := failer.KindOf[Kind](err)
	if kind != KindResponseLost && kind != KindStalled {
		return false
	}
	// After a stall without any event, the engine may only be slow to produce its first token.
	// Resuming at offset 0 then continues the run instead of starting it again. It would repeat
	// events that have no numbers.
	resumable := r.offset > 0 || kind == KindStalled && r.stats.Tokens == 0
	return resumable && r.stats.Resumes < maxResumes && ctx.Err() == nil
}

func (r *resumableStream) resumeRequest() Request {
	return Request{
		ID:         r.request.ID,
		Method:     http.MethodGet,
		Path:       fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(r.request.ID), r.offset),
		Idempotent: true, OnHeader: r.request.OnHeader,
	}
}

// attempt sends req and relays the events of the response. It returns a Response only if the
// status is not 200.
func (r *resumableStream) attempt(ctx context.Context, req Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(StallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	x, err := r.forwarder.send(ctx, r.server, req)
	if err != nil {
		return nil, r.forwarder.classifyError(ctx, r.server, err)
	}
	defer x.close()
	if err := checkResponse(x.resp, r.server, req); err != nil {
		if r.stats.Resumes > 0 && failer.KindOf[Kind](err) == KindRefused {
			// The server refused to resume the stream, but may have executed the original request.
			return nil, failer.Wrap("resume "+req.ID, KindStreamNotFound, err)
		}
		return nil, err
	}
	if x.resp.StatusCode != http.StatusOK {
		return r.errorResponse(x)
	}
	return nil, r.forwarder.classifyError(ctx, r.server, r.relayEvents(newEventReader(x.resp), stallTimer))
}

// errorResponse returns the engine's error response to the original request, or
// KindStreamNotFound if a resume failed.
func (r *resumableStream) errorResponse(x *exchange) (*Response, error) {
	if r.stats.Resumes > 0 {
		return nil, failer.New("resume "+r.request.ID, KindStreamNotFound, "the engine does not have the stream")
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(http.MaxBytesReader(nil, x.resp.Body, MaxBufferedBytes)); err != nil {
		return nil, failer.Wrap("forward", KindResponseLost, err)
	}
	return &Response{Status: x.resp.StatusCode, Header: x.resp.Header, Body: body.Bytes()}, nil
}

// relayEvents passes events to the handler until the [DONE] event.
func (r *resumableStream) relayEvents(events *eventReader, stallTimer *time.Timer) error {
	for {
		e, ok := events.next()
		if !ok {
			return failer.New("forward", KindResponseLost, "the stream ended without its closing marker")
		}
		stallTimer.Reset(StallTimeout)
		if string(e.Data) == doneMarker {
			return nil
		}
		if e.Offset != 0 && e.Offset <= r.offset {
			// A resumed stream may repeat events that were already relayed.
			continue
		}
		r.recordEvent(e)
		if err := r.handler(e); err != nil {
			return failer.Wrap("forward", KindCallerGone, err)
		}
	}
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

// chunk holds the fields of an event that StreamAggregator reads.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	Delta *delta `json:"delta,omitempty"`
}

type delta struct {
	Content string `json:"content"`
}

// StreamAggregator combines the events of a stream into one response, for a caller that did not
// request a stream. The zero value is empty.
type StreamAggregator struct {
	texts  []string
	isChat bool
	usage  json.RawMessage
	size   int
}

// AddEvent adds one event. It returns an error if the event is not a valid chunk, or if the
// response exceeds MaxBufferedBytes.
func (a *StreamAggregator) AddEvent(e Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return failer.Wrap("join", KindResponseLost, err)
	}
	for _, choice := range c.Choices {
		if choice.Index < 0 || choice.Index > maxChoiceIndex {
			return failer.New("join", KindResponseLost, "choice index out of range")
		}
		for len(a.texts) <= choice.Index {
			a.texts = append(a.texts, "")
		}
		text := choice.Text
		if choice.Delta != nil {
			a.isChat = true
			text = choice.Delta.Content
		}
		a.texts[choice.Index] += text
		a.size += len(text)
	}
	if a.size > MaxBufferedBytes {
		return failer.New("join", KindResponseLost, "the answer is too large to be held")
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	return nil
}

// maxChoiceIndex bounds the index of a choice in a response.
const maxChoiceIndex = 128

// completion is the response to a request that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   any                `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ResponseBody returns the response as JSON. tokens is reported as usage unless the engine
// reported its own.
func (a *StreamAggregator) ResponseBody(id, model string, tokens int) []byte {
	response := completion{
		ID: id, Object: "text_completion", Model: model, Usage: completionUsage{CompletionTokens: tokens},
	}
	if a.usage != nil {
		response.Usage = a.usage
	}
	for i, text := range a.texts {
		choice := completionChoice{Index: i, Text: text, FinishReason: "stop"}
		if a.isChat {
			response.Object = "chat.completion"
			choice.Text = ""
			choice.Message = &completionMessage{Role: "assistant", Content: text}
		}
		response.Choices = append(response.Choices, choice)
	}
	b, err := json.Marshal(response)
	if err != nil {
		// Not reached: the fields are strings, numbers and valid JSON.
		return nil
	}
	return b
}
