package commander

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// TestStopAtStart checks that SIGTERM while a router starts is a clean stop.
func TestStopAtStart(t *testing.T) {
	c := qt.New(t)
	site, err := standin.NewCluster(1, 1)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer site.Close(ctx)
	var out bytes.Buffer
	c.Assert(runOnPlatform(ctx, site.RouterSettings("a"), "", &out), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "event=stopped-at-start")
}
