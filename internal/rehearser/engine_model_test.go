package rehearser

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOverloadAcrossEngineModels simulates twice the capacity of engines with various
// parameters. Refusals must arrive within the latency objective, no engine may be idle
// while requests are queued for it, and no workspace may be starved.
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
			PrefixTokens: rapid.IntRange(0, 6000).Draw(t, "shared"), PrefixCount: 20,
			MeanAnswerTokens: rapid.Float64Range(10, 400).Draw(t, "answer"), ObjectiveMillis: 800,
			TimeoutMillis: 15000, Value: 1, LateValue: 0.3,
		}
		wl := &Workload{
			Seed: rapid.Uint64().Draw(t, "seed"), DurationSeconds: 4, EngineCount: 2, EngineModel: m,
			WorkspaceCount: 4, ZipfExponent: 1, Classes: []RequestClass{class},
		}
		mean := &request{promptTokens: int(class.MeanUniqueTokens), answerTokens: int(class.MeanAnswerTokens)}
		wl.Classes[0].RequestsPerSecond = min(400, 2*float64(wl.EngineCount)/m.engineSeconds(mean, true))
		r := Run(wl)
		if r.MaxRefusalDelay > time.Duration(class.ObjectiveMillis)*time.Millisecond {
			t.Fatalf("refused after %v", r.MaxRefusalDelay)
		}
		if r.IdleEngineSamples > 0 {
			t.Fatalf("engines were idle in %d samples while requests were queued for them", r.IdleEngineSamples)
		}
		for i, w := range r.Workspaces {
			if w.Submitted > 20 && w.ServedRatio() < r.Total.ServedRatio()/4 {
				t.Fatalf("workspace %d has served ratio %.2f, all workspaces %.2f", i, w.ServedRatio(), r.Total.ServedRatio())
			}
		}
	})
}
