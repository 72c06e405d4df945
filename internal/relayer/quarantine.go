package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/sender"
)

// Quarantine keeps requests from servers that they crash. All fields must be set.
type Quarantine struct {
	// Check reports whether a request must not be sent to servers. It permits a test of a verdict to one
	// request at a time; test is then true.
	Check func(quarantiner.Request) (v quarantiner.Verdict, refused, test bool)
	// RequestLost is called when the connection to a server broke before the answer of a request had
	// arrived.
	RequestLost func(*cataloger.Server, quarantiner.LostRequest)
	// RequestAnswered is called when a server has begun to answer a request that was sent at a reading of the
	// boot clock.
	RequestAnswered func(s *cataloger.Server, sentAt time.Duration, r quarantiner.Request)
	// IsSuspect reports whether a request may have crashed another server.
	IsSuspect func(*cataloger.Server, quarantiner.Request) bool
}

// minAnswerEvents is the number of events that show that a server survives an answer: it may end
// while it sends the first one.
const minAnswerEvents = 2

// Reasons in the log if a request is refused for a part of its prompt, or because the same request has crashed
// servers.
const (
	reasonPartQuarantined    = "prompt-part-quarantined"
	reasonRequestQuarantined = "request-quarantined"
)

// newIdentity returns what a request asks for. The last part of its prompt is its own. Repetitions of a caller
// differ in the ID and the deadline alone.
func newIdentity(c *Call, req *http.Request, body []byte) quarantiner.Request {
	out := quarantiner.Request{Workspace: quarantiner.WorkspaceKey(c.Workspace)}
	content := [][]byte{[]byte(req.Method), []byte(req.RequestURI), []byte(c.Model), body}
	if c.Service.Engine != nil {
		for i, p := range c.Parts {
			content = append(content, []byte(p.ID))
			if i < len(c.Parts)-1 {
				out.Parts = append(out.Parts, quarantiner.PartKey(c.Service.Name, c.Model, p.ID))
			}
		}
	}
	out.Content = quarantiner.ContentKey(c.Service.Name, content...)
	return out
}

// quarantineVerdict reports whether the request must not be sent to servers, and the verdict that says so.
func (x *exchange) quarantineVerdict() (v quarantiner.Verdict, refused bool) {
	if x.Quarantine == nil || x.testsVerdict {
		return quarantiner.Verdict{}, false
	}
	v, refused, x.testsVerdict = x.Quarantine.Check(x.identity)
	return v, refused
}

// checkQuarantine returns false if it responded to the request because it crashes servers. No other attempt
// of the caller would end otherwise, so the response says nothing of a retry.
func (x *exchange) checkQuarantine() bool {
	v, refused := x.quarantineVerdict()
	if !refused {
		return true
	}
	x.logFields = append(x.logFields, "crashes", v.Crashes, "key", strconv.FormatUint(v.Part, 16))
	reason := reasonRequestQuarantined
	for i, part := range x.identity.Parts {
		if part == v.Part {
			reason = reasonPartQuarantined
			x.logFields = append(x.logFields, "part", x.call.Parts[i].ID)
		}
	}
	if x.mayHaveRun {
		x.fail(http.StatusBadGateway, reason, nil)
		return false
	}
	x.refusalReason = reason
	x.reject(http.StatusUnprocessableEntity, reason)
	return false
}

// reportEvidence reports an attempt that has ended: answered says that the server has begun to answer,
// and failure whether the connection broke.
func (x *exchange) reportEvidence(
	ctx context.Context, server *cataloger.Server, sentAt time.Duration, resp *sender.Response, failure *attemptFailure,
	answered bool,
) {
	switch {
	case x.Quarantine == nil:
	case answered:
		x.Quarantine.RequestAnswered(server, sentAt, x.identity)
	case failure != nil && failure.connectionBroke && ctx.Err() == nil:
		failure.mayCrashServers = x.Quarantine.IsSuspect(server, x.identity)
		x.Quarantine.RequestLost(server, quarantiner.LostRequest{Request: x.identity, SentAt: sentAt, Begun: resp != nil})
	}
}
