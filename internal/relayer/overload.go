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
	e, err := r.Codec.DecodeRequest(req.Header)
	if err != nil {
		return nil
	}
	route, workspace, d := r.match(r.CurrentConfig(), req, e.Key)
	if d != nil {
		return nil
	}
	if began, _ := r.Shutdown(); !began.IsZero() {
		return nil
	}
	why := r.CheckAdmission(route.Work, workspace, r.active.Load()+1)
	if why == "" {
		return nil
	}
	return &OverloadRefusal{RequestInfo: e, Workspace: workspace, Reason: why}
}

// hijackAndRefuse lets a request be refused beside the HTTP server.
func (x *exchange) hijackAndRefuse(why string, after time.Duration) bool {
	if x.HijackAndRefuse == nil || x.w.Header().Get("Connection") != "" {
		return false
	}
	h := http.Header{}
	x.Codec.EncodeRefusal(h, x.call.ID, after)
	if !x.HijackAndRefuse(x.w, x.req, h) {
		return false
	}
	x.refusalReason = why
	x.logFields = append(x.logFields, "reason", why, "retry-after-ms", after.Milliseconds())
	x.setOutcome(outcomeRefused, http.StatusServiceUnavailable)
	return true
}
