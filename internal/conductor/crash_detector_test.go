package conductor

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/quarantiner"
)

// Guards against broken connections that are taken for the end of a server: only one that refuses
// connections has ended, and none that is shutting down or silent.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, tt := range []struct {
		name     string
		mayProbe bool
		dial     func(context.Context) (net.Conn, error)
		reported int
	}{
		{"it refuses connections", true, func(context.Context) (net.Conn, error) { return nil, refused }, 3},
		{"it is shutting down", false, func(context.Context) (net.Conn, error) { return nil, refused }, 0},
		{"it accepts connections", true, func(context.Context) (net.Conn, error) {
			client, _ := net.Pipe()
			return client, nil
		}, 0},
		{"it is silent", true, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var mu sync.Mutex
				dials, reported := 0, 0
				d := &crashDetector{
					Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
						mu.Lock()
						dials++
						mu.Unlock()
						return tt.dial(ctx)
					},
					MayProbe: func(*cataloger.Server) bool { return tt.mayProbe },
					OnCrash: func(_ *cataloger.Server, lost []quarantiner.LostRequest) {
						mu.Lock()
						defer mu.Unlock()
						reported += len(lost)
					},
				}
				s := &cataloger.Server{ID: "s", Address: "10.0.0.1:80"}
				d.requestLost(s, quarantiner.LostRequest{})
				d.requestLost(s, quarantiner.LostRequest{})
				time.Sleep(probeTimeout)
				synctest.Wait()
				// A loss that is seen later belongs to the same end of the server.
				d.requestLost(s, quarantiner.LostRequest{})
				time.Sleep(2 * crashReportWindow)
				synctest.Wait()
				mu.Lock()
				defer mu.Unlock()
				c.Assert(reported, qt.Equals, tt.reported)
				c.Assert(dials <= 2, qt.IsTrue)
				c.Assert(d.losses, qt.HasLen, 0)
			})
		})
	}
}

// Guards against the end of a server that is missed because it does not refuse connections: its machine is gone, and
// only its entry tells, which lapses later.
func TestSilentServersEndWithTheirEntry(t *testing.T) {
	s := &cataloger.Server{ID: "s", Address: "10.0.0.1:80", StartedUnixMilli: 1}
	leaving := *s
	leaving.Draining = true
	other := *s
	other.StartedUnixMilli = 2
	for _, tt := range []struct {
		name     string
		after    time.Duration
		listed   *cataloger.Server
		reported int
	}{
		{"its entry lapses", 4 * time.Second, nil, 2},
		{"it starts again", 4 * time.Second, &other, 2},
		{"it stays listed", 4 * time.Second, s, 0},
		{"it shuts down", 4 * time.Second, &leaving, 0},
		{"its entry lapses much later", time.Minute, nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reported := 0
				d := &crashDetector{
					Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					},
					MayProbe: func(*cataloger.Server) bool { return true },
					OnCrash:  func(_ *cataloger.Server, lost []quarantiner.LostRequest) { reported += len(lost) },
				}
				d.requestLost(s, quarantiner.LostRequest{})
				time.Sleep(2 * probeTimeout)
				d.handleServerList(map[string]*cataloger.Server{"s": s})
				d.requestLost(s, quarantiner.LostRequest{})
				time.Sleep(tt.after)
				servers := map[string]*cataloger.Server{}
				if tt.listed != nil {
					servers["s"] = tt.listed
				}
				d.handleServerList(servers)
				synctest.Wait()
				qt.Assert(t, reported, qt.Equals, tt.reported)
				d.handleServerList(nil)
				synctest.Wait()
				if tt.listed != s {
					qt.Assert(t, d.silent, qt.HasLen, 0)
				}
			})
		})
	}
}

// Guards against a table of silent servers that grows without bound.
func TestMadeUpSilentServersAreBounded(t *testing.T) {
	var d crashDetector
	for i := range 2 * maxSilentServers {
		d.keepSilent(&cataloger.Server{ID: fmt.Sprint("s", i)}, make([]quarantiner.LostRequest, 2*maxLostRequests))
	}
	qt.Assert(t, d.silent, qt.HasLen, maxSilentServers)
	for _, l := range d.silent {
		qt.Assert(t, l.lost, qt.HasLen, maxLostRequests)
	}
}
