package relayer

import (
	"net/http"
	"time"

	"papayapaddle/internal/cataloger"
)

// authorize checks the request against the configuration in force now.
func (x *exchange) authorize() bool {
	route, workspace, d := x.match(x.beliefs, x.req, x.call.Key)
	if route != nil {
		x.call.Route, x.call.Workspace = route, workspace
	}
	switch {
	case d == nil:
		return true
	case d.status == http.StatusServiceUnavailable:
		x.refuse(d.reason, d.retryAfter)
	default:
		x.reject(d.status, d.reason)
	}
	return false
}

// denial is why the configuration does not let a request through. The status 503 is a
// refusal.
type denial struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// match finds the route and the workspace of a request. A configuration that cannot be
// proven current proves neither that a key is still valid nor that a route or key does
// not exist.
func (r *Relayer) match(b Beliefs, req *http.Request, key string) (route *cataloger.Route, workspace string, d *denial) {
	c := b.Catalog
	if c == nil {
		return nil, "", &denial{http.StatusServiceUnavailable, "no-configuration", retrySoon}
	}
	unproven := &denial{http.StatusServiceUnavailable, "configuration-unproven", RetryElsewhere}
	fresh := b.Proven && b.Age <= r.MaxAge
	route = c.MatchRoute(req.Host, req.URL.EscapedPath())
	switch {
	case route == nil && !fresh:
		return nil, "", unproven
	case route == nil:
		return nil, "", &denial{status: http.StatusNotFound, reason: "no-route"}
	case route.Public || !c.KeysRequired:
		return route, "", nil
	case !fresh:
		return route, "", unproven
	}
	w := c.WorkspaceByKey(key)
	if w == nil {
		return route, "", &denial{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	return route, w.Name, nil
}
