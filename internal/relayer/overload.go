package relayer

import (
	"net/http"
	"time"
)

// OverloadRefusal describes a request that the router refuses because it is overloaded.
type OverloadRefusal struct {
	RequestInfo
	Workspace string
	Reason    string
}

// CheckOverload returns a refusal if the router would refuse the request because it is
// overloaded. It returns nil if the router would accept the request or reject it for another
// reason.
func (r *Relayer) CheckOverload(req *http.Request) *OverloadRefusal {
	info, err := r.Codec.DecodeRequest(req.Header)
	if err != nil {
		return nil
	}
	route, workspace, denied := r.match(r.CurrentConfig(), req, info.APIKey)
	if denied != nil {
		return nil
	}
	if shutdownStart, _ := r.Shutdown(); !shutdownStart.IsZero() {
		return nil
	}
	reason := r.CheckAdmission(route.Kind, workspace, r.Load()+1)
	if reason == "" {
		return nil
	}
	return &OverloadRefusal{RequestInfo: info, Workspace: workspace, Reason: reason}
}

// hijackAndRefuse takes the connection over from the HTTP server to refuse the request. It
// returns false if that is not possible.
func (x *exchange) hijackAndRefuse(reason string, retryAfter time.Duration) bool {
	if x.HijackAndRefuse == nil || x.w.Header().Get("Connection") != "" {
		return false
	}
	h := http.Header{}
	x.Codec.EncodeRefusal(h, x.call.ID, retryAfter)
	if !x.HijackAndRefuse(x.w, x.req, h) {
		return false
	}
	x.refusalReason = reason
	x.logFields = append(x.logFields, "reason", reason, "retry-after-ms", retryAfter.Milliseconds())
	x.setOutcome(outcomeRefused, http.StatusServiceUnavailable)
	return true
}
