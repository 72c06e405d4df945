package relayer

import (
	"net/http"
	"time"
)

// Overload is a request that the router refuses for its own sake.
type Overload struct {
	Envelope
	Workspace string
	Reason    string
}

// Overloaded says that the router would refuse a request for its own sake; nil means that
// it would not, or for another reason.
func (r *Relayer) Overloaded(req *http.Request) *Overload {
	e, err := r.Codec.DecodeRequest(req.Header)
	if err != nil {
		return nil
	}
	route, workspace, d := r.match(r.Beliefs(), req, e.Key)
	if d != nil {
		return nil
	}
	if began, _ := r.Closing(); !began.IsZero() {
		return nil
	}
	why := r.Crowded(route.Kind, workspace, r.active.Load()+1)
	if why == "" {
		return nil
	}
	return &Overload{Envelope: e, Workspace: workspace, Reason: why}
}

// refuseBeside lets a request be refused beside the HTTP server.
func (x *exchange) refuseBeside(why string, after time.Duration) bool {
	if x.Refuse == nil || x.w.Header().Get("Connection") != "" {
		return false
	}
	h := http.Header{}
	x.Codec.EncodeRefusal(h, x.call.ID, after)
	if !x.Refuse(x.w, x.req, h) {
		return false
	}
	x.refused = why
	x.detail = append(x.detail, "reason", why, "retry-after-ms", after.Milliseconds())
	x.end(outcomeRefused, http.StatusServiceUnavailable)
	return true
}
