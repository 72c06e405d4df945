package relayer

import (
	"time"

	"papayapaddle/internal/cataloger"
)

// reasonShuttingDown is the reason in the log if a request is refused or fails because of a shutdown.
const reasonShuttingDown = "shutting-down"

// isAborted reports whether the end of a shutdown ended the request.
func (x *exchange) isAborted() bool { return x.Aborted != nil && x.Aborted.Err() != nil }

// tooLateForShutdown reports whether the request may last longer than the router. Requests that arrive soon
// after the start of a shutdown, while the load balancer still sends some, are accepted nevertheless.
func (x *exchange) tooLateForShutdown() bool {
	start, end := x.Shutdown()
	switch {
	case start.IsZero():
		return false
	case time.Since(start) <= shutdownAcceptWindow:
		return false
	}
	return x.call.Route.Kind == cataloger.RouteStream || x.call.Deadline.After(end)
}
