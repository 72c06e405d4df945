package relayer

import (
	"net/http"
	"time"
)

// OverloadRefusal is a request that the router refuses for its own sake.
type OverloadRefusal struct {
	RequestInfo
	Workspace string
	Reason    string
}

// CheckOverload says that the router would refuse a request for its own sake; nil means that
// it would not, or for another reason.
func (r *Relayer) CheckOverload(req *http.Request) *OverloadRefusal {
	info, err := r.Codec.DecodeRequest(req.Header)
	if err != nil {
		return nil
	}
	route, workspace, denied := r.match(r.CurrentConfig(), req, info.Key)
	if denied != nil {
		return nil
	}
	if shutdownStart, _ := r.Shutdown(); !shutdownStart.IsZero() {
		return nil
	}
	reason := r.CheckAdmission(route.Work, workspace, r.active.Load()+1)
	if reason == "" {
		return nil
	}
	return &OverloadRefusal{RequestInfo: info, Workspace: workspace, Reason: reason}
}

// hijackAndRefuse lets a request be refused beside the HTTP server.
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
