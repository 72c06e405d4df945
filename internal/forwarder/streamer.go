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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes bounds how often one stream is taken up again.
	maxResumes = 5
	// doneMarker closes a whole stream.
	doneMarker = "[DONE]"
)

// Event is one event of a model's stream.
type Event struct {
	// Offset counts the tokens up to and with this event, when the engine
	// numbers its events.
	Offset int
	Data   []byte
}

// StreamStats tells how a stream went.
type StreamStats struct {
	// Tokens is the number of tokens relayed.
	Tokens int
	// TimeToFirstToken is the time to the first token; BetweenMean the mean time
	// between tokens. They are 0 when unknown.
	TimeToFirstToken  time.Duration
	MeanTokenInterval time.Duration
	Resumes           int
}

// EventHandler takes a stream's events; an error ends the stream.
type EventHandler func(Event) error

// reader splits a stream of server-sent events.
type reader struct {
	s *bufio.Scanner
}

func newReader(resp *http.Response) *reader {
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 16<<10), maxEventBytes)
	return &reader{s: s}
}

// next returns the next event; ok is false at the end of the connection,
// whether or not the stream was whole.
func (r *reader) next() (e Event, ok bool) {
	for r.s.Scan() {
		line := r.s.Bytes()
		switch {
		case len(line) == 0:
			if e.Data != nil {
				return e, true
			}
			e = Event{}
		case bytes.HasPrefix(line, []byte("id:")):
			// An id that is no number leaves the offset unknown.
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

// streamRun is the state of a stream across its connections.
type streamRun struct {
	f       *Forwarder
	server  Server
	job     Request
	sink    EventHandler
	stats   StreamStats
	offset  int
	started time.Time
	firstAt time.Time
	lastAt  time.Time
}

// ForwardStream forwards a model request whose answer is a stream, passes each event
// on, and takes a stream that broke or went silent up again on its engine. It
// returns nil only after the closing marker. A failure answer that is no stream
// is returned as a whole answer.
func (f *Forwarder) ForwardStream(ctx context.Context, s Server, j Request, sink EventHandler) (*Response, StreamStats, error) {
	r := &streamRun{f: f, server: s, job: j, sink: sink, started: time.Now()}
	answer, err := r.attempt(ctx, j)
	for err != nil && r.canResume(ctx, err) {
		r.stats.Resumes++
		_, err = r.attempt(ctx, r.resumeJob())
	}
	r.finish()
	return answer, r.stats, err
}

// canResume says whether the engine may still have the stream: something of it
// was received with a number, and it is the connection that failed.
func (r *streamRun) canResume(ctx context.Context, err error) bool {
	kind := failer.KindOf[Kind](err)
	if kind != KindResponseLost && kind != KindStalled {
		return false
	}
	// A silent engine may only be slow with its first token, which a resume from
	// the start finds out without doing the work again.
	known := r.offset > 0 || kind == KindStalled
	return known && r.stats.Resumes < maxResumes && ctx.Err() == nil
}

func (r *streamRun) resumeJob() Request {
	return Request{
		ID:         r.job.ID,
		Method:     http.MethodGet,
		Path:       fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(r.job.ID), r.offset),
		Idempotent: true,
	}
}

func (r *streamRun) attempt(ctx context.Context, j Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(StallTimeout, func() { cancel(errSilent) })
	defer watch.Stop()
	x, err := r.f.send(ctx, r.server, j)
	if err != nil {
		return nil, r.f.classify(ctx, r.server, err)
	}
	defer x.close()
	if err := check(x.resp, r.server, j); err != nil {
		return nil, err
	}
	if x.resp.StatusCode != http.StatusOK {
		return r.failure(x)
	}
	return nil, r.f.classify(ctx, r.server, r.relay(newReader(x.resp), watch))
}

// failure returns an engine's error answer, or the loss of a stream that could
// not be taken up again.
func (r *streamRun) failure(x *exchange) (*Response, error) {
	if r.stats.Resumes > 0 {
		return nil, failer.New("resume "+r.job.ID, KindStreamNotFound, "the engine does not have the stream")
	}
	var b bytes.Buffer
	if _, err := b.ReadFrom(http.MaxBytesReader(nil, x.resp.Body, MaxBufferedBytes)); err != nil {
		return nil, failer.Wrap("forward", KindResponseLost, err)
	}
	return &Response{Status: x.resp.StatusCode, Header: x.resp.Header, Body: b.Bytes()}, nil
}

func (r *streamRun) relay(in *reader, watch *time.Timer) error {
	for {
		e, ok := in.next()
		if !ok {
			return failer.New("forward", KindResponseLost, "the stream ended without its closing marker")
		}
		watch.Reset(StallTimeout)
		if string(e.Data) == doneMarker {
			return nil
		}
		if e.Offset != 0 && e.Offset <= r.offset {
			// A resumed stream may repeat what was passed on already.
			continue
		}
		r.note(e)
		if err := r.sink(e); err != nil {
			return failer.Wrap("forward", KindCallerGone, err)
		}
	}
}

// note keeps the offset and the times of tokens.
func (r *streamRun) note(e Event) {
	now := time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = now
		r.stats.TimeToFirstToken = now.Sub(r.started)
	}
	r.lastAt = now
	if e.Offset > 0 {
		r.offset = e.Offset
		r.stats.Tokens = e.Offset
		return
	}
	r.stats.Tokens++
}

func (r *streamRun) finish() {
	if r.stats.Tokens > 1 && r.lastAt.After(r.firstAt) {
		r.stats.MeanTokenInterval = r.lastAt.Sub(r.firstAt) / time.Duration(r.stats.Tokens)
	}
}

// chunk is what Join reads of an event.
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

// StreamAggregator puts a stream's events together to one answer, for a caller who did
// not ask for a stream. The zero value is empty.
type StreamAggregator struct {
	texts []string
	chat  bool
	usage json.RawMessage
	size  int
}

// AddEvent takes one event in. It fails on an event that is not a model's, and on an
// answer that grows above MaxHeldBytes.
func (j *StreamAggregator) AddEvent(e Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return failer.Wrap("join", KindResponseLost, err)
	}
	for _, ch := range c.Choices {
		if ch.Index < 0 || ch.Index > maxChoices {
			return failer.New("join", KindResponseLost, "choice index out of range")
		}
		for len(j.texts) <= ch.Index {
			j.texts = append(j.texts, "")
		}
		text := ch.Text
		if ch.Delta != nil {
			j.chat = true
			text = ch.Delta.Content
		}
		j.texts[ch.Index] += text
		j.size += len(text)
	}
	if j.size > MaxBufferedBytes {
		return failer.New("join", KindResponseLost, "the answer is too large to be held")
	}
	if c.Usage != nil {
		j.usage = c.Usage
	}
	return nil
}

// maxChoices bounds the number of alternatives in one answer.
const maxChoices = 128

type joinedAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []joinedChoice `json:"choices"`
	Usage   any            `json:"usage"`
}

type joinedChoice struct {
	Index        int            `json:"index"`
	Text         string         `json:"text,omitempty"`
	Message      *joinedMessage `json:"message,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type joinedMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type joinedUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// ResponseBody returns the joined answer.
func (j *StreamAggregator) ResponseBody(id, model string, tokens int) []byte {
	a := joinedAnswer{ID: id, Object: "text_completion", Model: model, Usage: joinedUsage{CompletionTokens: tokens}}
	if j.usage != nil {
		a.Usage = j.usage
	}
	for i, t := range j.texts {
		c := joinedChoice{Index: i, Text: t, FinishReason: "stop"}
		if j.chat {
			a.Object = "chat.completion"
			c.Text = ""
			c.Message = &joinedMessage{Role: "assistant", Content: t}
		}
		a.Choices = append(a.Choices, c)
	}
	b, err := json.Marshal(a)
	if err != nil {
		// The type holds only strings and numbers, and JSON that was decoded.
		return nil
	}
	return b
}
