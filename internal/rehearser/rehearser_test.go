package rehearser

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

func play(t *testing.T, name string) Report {
	b, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
	qt.Assert(t, err, qt.IsNil)
	l, err := Parse(b)
	qt.Assert(t, err, qt.IsNil)
	return Run(l)
}

// TestWorkloadsStayWithinBounds plays each load and holds it against bounds, which come from the
// users' rules and aims, not from what was measured.
func TestWorkloadsStayWithinBounds(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "bounds"), func(t *testing.T, d *datadriven.TestData) string {
		r := play(t, d.Cmd)
		out := ""
		check := func(name string, value float64, less bool) {
			var bound float64
			if !d.HasArg(name) {
				return
			}
			d.ScanArgs(t, name, &bound)
			ok := value >= bound
			if less {
				ok = value <= bound
			}
			if !ok {
				out += fmt.Sprintf("%s is %.3f, bound %.3f\n", name, value, bound)
			}
		}
		check("in-time", float64(r.Total.InTime)/float64(r.Total.Submitted), false)
		check("share", r.Total.ValueShare(), false)
		check("fairness", r.Fairness, false)
		check("longest-refusal-ms", float64(r.MaxRefusalDelay.Milliseconds()), true)
		check("longest-tenth", r.LongPrompts.ServedRatio()/r.Total.ServedRatio(), false)
		for name, c := range r.Classes {
			if d.HasArg("class") {
				var bound float64
				d.ScanArgs(t, "class", &bound)
				if c.ServedRatio() < bound*r.Total.ServedRatio() {
					out += fmt.Sprintf("class %s is served %.3f of the time, all %.3f\n", name, c.ServedRatio(), r.Total.ServedRatio())
				}
			}
		}
		if out == "" {
			return "within bounds\n"
		}
		return out
	})
}

func TestSimulationIsDeterministic(t *testing.T) {
	c := qt.New(t)
	var a, b bytes.Buffer
	ra, rb := play(t, "overload"), play(t, "overload")
	ra.Write(&a)
	rb.Write(&b)
	c.Assert(a.String(), qt.Equals, b.String())
}

func TestParseRejectsInvalidWorkloads(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ load, want string }{
		{"seconds: 1", ".*engines, workspaces and classes.*"},
		{"sekunden: 1", "(?s).*sekunden.*"},
		{"seconds: 1\nengines: 1\nworkspaces: 1\nclasses: [{name: a}]\nevents: [{kind: rain}]", `.*class "a".*event kind "rain" is not known`},
	} {
		_, err := Parse([]byte(tt.load))
		c.Assert(err, qt.ErrorMatches, tt.want)
	}
}

// TestEnginePrefillsInChunksAndCachesPrefixes checks the model against its own terms.
func TestEnginePrefillsInChunksAndCachesPrefixes(t *testing.T) {
	c := qt.New(t)
	e := newEngine("e", EngineModel{Slots: 2, MemoryTokens: 10000, StepMillis: 1, PrefillTokensPerMilli: 10, PrefillChunkTokens: 100})
	class := &RequestClass{}
	first := &request{class: class, part: "p", shared: 100, prompt: 150, answer: 1}
	e.add(0, first)
	length, began, _ := e.step()
	c.Assert(length, qt.Equals, 11*time.Millisecond)
	c.Assert(began, qt.HasLen, 0)
	length, began, ended := e.step()
	c.Assert(length, qt.Equals, 6*time.Millisecond)
	c.Assert(began, qt.HasLen, 1)
	c.Assert(ended, qt.HasLen, 1)

	second := &request{class: class, part: "p", shared: 100, prompt: 150, answer: 1}
	e.add(time.Second, second)
	length, _, _ = e.step()
	c.Assert(length, qt.Equals, 6*time.Millisecond, qt.Commentf("the shared part is kept"))
}
