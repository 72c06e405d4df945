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

func runWorkload(t *testing.T, name string) Report {
	b, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
	qt.Assert(t, err, qt.IsNil)
	wl, err := Parse(b)
	qt.Assert(t, err, qt.IsNil)
	return Run(wl)
}

// TestWorkloadsStayWithinBounds simulates each workload and checks the results against
// bounds that come from the users' requirements, not from measurements.
func TestWorkloadsStayWithinBounds(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "bounds"), func(t *testing.T, d *datadriven.TestData) string {
		r := runWorkload(t, d.Cmd)
		violations := ""
		check := func(name string, value float64, isUpperBound bool) {
			var bound float64
			if !d.HasArg(name) {
				return
			}
			d.ScanArgs(t, name, &bound)
			ok := value >= bound
			if isUpperBound {
				ok = value <= bound
			}
			if !ok {
				violations += fmt.Sprintf("%s is %.3f, bound %.3f\n", name, value, bound)
			}
		}
		check("in-time", float64(r.Total.InTime)/float64(r.Total.Submitted), false)
		check("share", r.Total.ValueShare(), false)
		check("fairness", r.Fairness, false)
		check("longest-refusal-ms", float64(r.MaxRefusalDelay.Milliseconds()), true)
		check("longest-tenth", r.LongPrompts.ServedRatio()/r.Total.ServedRatio(), false)
		check("deadly-sent", float64(r.DeadlySent), true)
		check("over-limit", r.OverLimit, true)
		check("over-cold", r.OverCold, true)
		check("wrongly-quarantined", float64(r.WronglyQuarantined), true)
		for name, c := range r.Classes {
			if d.HasArg("class") {
				var bound float64
				d.ScanArgs(t, "class", &bound)
				if c.ServedRatio() < bound*r.Total.ServedRatio() {
					violations += fmt.Sprintf("class %s has served ratio %.3f, all requests %.3f\n", name, c.ServedRatio(), r.Total.ServedRatio())
				}
			}
		}
		if violations == "" {
			return "within bounds\n"
		}
		return violations
	})
}

func TestSimulationIsDeterministic(t *testing.T) {
	c := qt.New(t)
	var firstOutput, secondOutput bytes.Buffer
	first, second := runWorkload(t, "overload"), runWorkload(t, "overload")
	first.Write(&firstOutput)
	second.Write(&secondOutput)
	c.Assert(firstOutput.String(), qt.Equals, secondOutput.String())
}

func TestParseRejectsInvalidWorkloads(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ workload, want string }{
		{"seconds: 1", ".*engines, workspaces and classes.*"},
		{"sekunden: 1", "(?s).*sekunden.*"},
		{"seconds: 1\nengines: 1\nworkspaces: 1\nclasses: [{name: a}]\nevents: [{kind: rain}]", `.*class "a".*event kind "rain" is not known`},
	} {
		_, err := Parse([]byte(tt.workload))
		c.Assert(err, qt.ErrorMatches, tt.want)
	}
}

// TestEnginePrefillsInChunksAndCachesPrefixes checks the durations of steps of the
// engine model.
func TestEnginePrefillsInChunksAndCachesPrefixes(t *testing.T) {
	c := qt.New(t)
	e := newEngine("e", EngineModel{Slots: 2, MemoryTokens: 10000, StepMillis: 1, PrefillTokensPerMilli: 10, PrefillChunkTokens: 100})
	class := &RequestClass{}
	first := &request{class: class, prefix: "p", prefixTokens: 100, promptTokens: 150, answerTokens: 1}
	e.add(0, first)
	duration, started, _ := e.step()
	c.Assert(duration, qt.Equals, 11*time.Millisecond)
	c.Assert(started, qt.HasLen, 0)
	duration, started, finished := e.step()
	c.Assert(duration, qt.Equals, 6*time.Millisecond)
	c.Assert(started, qt.HasLen, 1)
	c.Assert(finished, qt.HasLen, 1)

	second := &request{class: class, prefix: "p", prefixTokens: 100, promptTokens: 150, answerTokens: 1}
	e.add(time.Second, second)
	duration, _, _ = e.step()
	c.Assert(duration, qt.Equals, 6*time.Millisecond, qt.Commentf("the shared prefix is cached"))
}
