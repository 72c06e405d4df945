package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/verifier"
)

// EndWatch follows a response that is delimited by the end of its connection.
type EndWatch interface {
	// Outlived waits for a proof that the server outlived the response, whose end has just been observed, and
	// returns the cause if there is none. aliveAt is when the server was last known to be alive.
	Outlived(ctx context.Context, aliveAt time.Time) (bool, verifier.Cause)
	// Stop must be called once.
	Stop()
}

// minReadWait is how long a read takes at least that waited for data. A shorter one returned what had been received
// before.
const minReadWait = time.Millisecond

// responseEnd decides whether a response is complete. Nil stands for a response with a length or chunked encoding, whose
// end is explicit.
type responseEnd struct {
	watch EndWatch
	body  io.Reader
	// aliveAt is when data was last waited for and received.
	aliveAt time.Time
}

// watchEnd returns the end of a response whose header was just received. stop must be called.
func (x *exchange) watchEnd(server *cataloger.Server, resp *sender.Response) *responseEnd {
	if x.WatchEnd == nil || !resp.DelimitedByClose() {
		return nil
	}
	e := &responseEnd{watch: x.WatchEnd(server), body: resp.Body, aliveAt: time.Now()}
	resp.Body = e
	return e
}

// Read implements io.Reader.
func (e *responseEnd) Read(p []byte) (int, error) {
	start := time.Now()
	n, err := e.body.Read(p)
	if now := time.Now(); now.Sub(start) >= minReadWait {
		e.aliveAt = now
	}
	return n, err
}

var errUnproven = errors.New("no proof that the server outlived its response")

// check returns a failure unless the response, which was read to its end, is complete.
func (e *responseEnd) check(ctx context.Context, reason string) *attemptFailure {
	if e == nil {
		return nil
	}
	outlived, cause := e.watch.Outlived(ctx, e.aliveAt)
	if outlived {
		return nil
	}
	return &attemptFailure{sent: true, connectionBroke: true, reason: reason, err: fmt.Errorf("%w: %s", errUnproven, cause)}
}

func (e *responseEnd) stop() {
	if e != nil {
		e.watch.Stop()
	}
}
