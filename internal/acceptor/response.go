package acceptor

import (
	"fmt"
	"net/http"
	"strconv"

	"papayapaddle/internal/dispatcher"
	"papayapaddle/internal/forwarder"
)

// writeEvent writes one event of a stream.
func (x *exchange) writeEvent(e forwarder.Event) error {
	if !x.streamStarted {
		x.streamStarted = true
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-store")
	}
	x.extendWriteDeadline()
	if _, err := fmt.Fprintf(x.w, "data: %s\n\n", e.Data); err != nil {
		return err
	}
	return x.controller.Flush()
}

// writeResponse writes a complete response with its Content-Length.
func (x *exchange) writeResponse(status int, header http.Header, body []byte) error {
	responseHeader := x.w.Header()
	for _, name := range []string{
		"Content-Type", "Content-Encoding", "Location", "Etag", "Cache-Control", "Retry-After", "Idempotency-Replayed",
	} {
		if values := header[name]; values != nil {
			responseHeader[name] = values
		}
	}
	responseHeader.Set("Content-Length", strconv.Itoa(len(body)))
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
	if x.r.Method == http.MethodHead {
		return nil
	}
	_, err := x.w.Write(body)
	return err
}

// endStream writes the event that ends a complete stream.
func (x *exchange) endStream() error {
	return x.writeEvent(forwarder.Event{Data: []byte("[DONE]")})
}

// abortStream writes the problem as an error event. The stream then ends without a [DONE] event.
func (x *exchange) abortStream(f dispatcher.Failure) {
	x.extendWriteDeadline()
	fmt.Fprintf(x.w, "event: error\ndata: %s\n\n", x.encodeProblem(f))
	_ = x.controller.Flush()
}
