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

// Guards against a router that starts with another limit on hedges than the operator meant.
func TestHedgePercent(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]float64{"": 0, "0": 0, "2.5": 2.5, "100": 100} {
		got, err := parseHedgePercent(text)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, want)
	}
	for _, text := range []string{"-1", "100.1", "NaN", "Inf", "5%", "x"} {
		t.Setenv(hedgePercentVariable, text)
		err := New(&bytes.Buffer{}, &bytes.Buffer{}).Run(context.Background(), []string{"papayapaddle", "serve", "--settings", "none"})
		c.Assert(err, qt.ErrorMatches, `--hedge-percent or PAPAYAPADDLE_HEDGE_PERCENT: ".*" is no number from 0 to 100`)
	}
}
