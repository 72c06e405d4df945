package commander

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// TestShutdownDuringStartup checks that a router canceled during startup, as by SIGTERM, exits
// without an error.
func TestShutdownDuringStartup(t *testing.T) {
	c := qt.New(t)
	cluster, err := standin.NewCluster(1, 1)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer cluster.Close(ctx)
	var out bytes.Buffer
	c.Assert(runPlatformRouter(ctx, cluster.RouterSettings("a"), "", nil, &out), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "event=stopped-at-start")
}
