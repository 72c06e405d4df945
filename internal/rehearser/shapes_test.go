package rehearser

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOverloadAcrossEngineModels plays twice what engines of any shape can do: what is refused is
// refused within its objective, no engine idles while work waits for it, and nobody
// is left out.
func TestOverloadAcrossEngineModels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(4, 128).Draw(t, "slots")
		m := EngineModel{
			Slots: slots, MemoryTokens: rapid.IntRange(60_000, 700_000).Draw(t, "memory-tokens"),
			StepMillis: rapid.Float64Range(2, 8).Draw(t, "step-millis"), RequestMillis: 0.09,
			PrefillTokensPerMilli: rapid.Float64Range(10, 100).Draw(t, "read-per-milli"), PrefillChunkTokens: 2048,
		}
		class := RequestClass{
			Name: "any", MeanUniqueTokens: rapid.Float64Range(500, 6000).Draw(t, "prompt"), UniqueTokensSigma: 0.8,
			PrefixTokens: rapid.IntRange(0, 6000).Draw(t, "shared"), PrefixCount: 20, MeanAnswerTokens: rapid.Float64Range(10, 400).Draw(t, "answer"),
			ObjectiveMillis: 800, TimeoutMillis: 15000, Value: 1, LateValue: 0.3,
		}
		l := &Workload{
			Seed: rapid.Uint64().Draw(t, "seed"), DurationSeconds: 4, EngineCount: 2, EngineModel: m, WorkspaceCount: 4, ZipfExponent: 1,
			Classes: []RequestClass{class},
		}
		mean := &request{prompt: int(class.MeanUniqueTokens), answer: int(class.MeanAnswerTokens)}
		l.Classes[0].RequestsPerSecond = min(400, 2*float64(l.EngineCount)/m.seconds(mean, true))
		r := Run(l)
		if r.MaxRefusalDelay > time.Duration(class.ObjectiveMillis)*time.Millisecond {
			t.Fatalf("refused after %v", r.MaxRefusalDelay)
		}
		if r.IdleEngineSamples > 0 {
			t.Fatalf("engines idled in %d looks while work waited for them", r.IdleEngineSamples)
		}
		for i, w := range r.Workspaces {
			if w.Submitted > 20 && w.ServedRatio() < r.Total.ServedRatio()/4 {
				t.Fatalf("workspace %d is served %.2f of the time, all %.2f", i, w.ServedRatio(), r.Total.ServedRatio())
			}
		}
	})
}
