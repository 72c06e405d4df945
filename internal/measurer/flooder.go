package measurer

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

// meanTokens is the mean of the log-uniform costs.
const meanTokens = 215.0

// capacity is the requests a second that the engines can carry.
func capacity() float64 {
	perSlot := float64(time.Second) / float64(emulator.DefaultEngineConfig.TokenInterval)
	return engines * engineSlots * perSlot / meanTokens
}

const (
	// ordinaryLoad is the share of the capacity that all workspaces use before a
	// flood.
	ordinaryLoad = 0.7
	// floodFactor is how many times the capacity a flood asks for.
	floodFactor = 20
	// keptGoodput is the share of goodput that others must keep in a flood.
	keptGoodput = 0.95
	// refusalBound is what "in milliseconds rather than after a timeout" means.
	refusalBound = 100.0
)

// ordinary returns the flows of everyday load, a part of the capacity, shared
// out by weight.
func ordinary(d *demonstrator.Deployment, load float64) []loader.Flow {
	total := float64(largeWeight*largeCount + workspaceCount - largeCount)
	var fs []loader.Flow
	for i := range workspaceCount {
		rate := capacity() * load * weightOf(i) / total
		for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
			f := backlog(i, d, 0)
			f.Path, f.Concurrency, f.RequestsPerSecond = path, 0, rate/2
			fs = append(fs, f)
		}
	}
	return fs
}

func floodLeast(ctx context.Context, o Options) ([]Figure, error) {
	return flood(ctx, o, "/v1/completions")
}

func floodMost(ctx context.Context, o Options) ([]Figure, error) {
	return flood(ctx, o, "/v1/chat/completions")
}

// flood runs everyday load for the first part, and a flood of one workspace at
// all routers in the second.
func flood(ctx context.Context, o Options, path string) ([]Figure, error) {
	d, _, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	settle, before := o.Length/8, o.Length/2
	plan := loader.Workload{
		Seed: o.Seed, Duration: o.Length, DrainTimeout: drainTime, Flows: ordinary(d, ordinaryLoad),
		PhaseStarts: []time.Duration{settle, before, before + settle},
	}
	var urls []string
	for _, m := range d.Members {
		urls = append(urls, m.URL())
	}
	flooder := workspaceCount - 1
	plan.Flows = append(plan.Flows, loader.Flow{
		Workspace: workspaceName(flooder), APIKey: demonstrator.KeyOf(workspaceName(flooder)), Path: path,
		Model: emulator.ModelName, RouterURLs: urls, RequestsPerSecond: capacity() * floodFactor, StartAfter: before,
		AnswerTokens: loader.LogUniform(leastTokens, mostTokens), MaxHintError: 4,
	})
	run := loader.Start(ctx, plan)
	time.Sleep(before + settle)
	control := controlRate(d, o.Length-before-settle)
	run.Wait()
	fs := floodFigures(run, flooder)
	return append(fs, figure("control-flood", control, "bytes/s").atMost(controlBound)), nil
}

// floodFigures compares the quiet phase 1 with phase 3 of the flood; phases 0
// and 2 are left out while the load settles.
func floodFigures(run *loader.Run, flooder int) []Figure {
	quiet, flooded := run.Stats("", 0), run.Stats("", 0)
	for i := range workspaceCount {
		if i == flooder {
			continue
		}
		quiet.Merge(run.Stats(workspaceName(i), 1))
		flooded.Merge(run.Stats(workspaceName(i), 3))
	}
	goodput := func(complete, started int64) float64 { return float64(complete) / float64(max(1, started)) }
	q, f := goodput(quiet.Completed, quiet.Started), goodput(flooded.Completed, flooded.Started)
	firstQuiet := float64(quiet.TimeToFirstToken.ValueAtQuantile(95)) / 1000
	firstFlooded := float64(flooded.TimeToFirstToken.ValueAtQuantile(95)) / 1000
	shed := run.Stats(workspaceName(flooder), 3)
	total := run.TotalStats()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return []Figure{
		figure("goodput-kept", f/q, "share").atLeast(keptGoodput),
		figure("goodput-before", q, "share"),
		figure("first-token-p95-before", firstQuiet, "ms"),
		figure("first-token-p95-flood", firstFlooded, "ms").atMost(2 * firstQuiet),
		figure("flooder-refused", float64(shed.NotRun), "requests"),
		figure("refusal-p95", float64(shed.RefusalLatency.ValueAtQuantile(95))/1000, "ms").atMost(refusalBound),
		figure("unknown", float64(total.OutcomeUnknown), "requests").atMost(0),
		figure("wrong-answers", float64(total.Wrong), "requests").atMost(0),
		figure("heap-all-processes", float64(memory.HeapAlloc)/(1<<20), "MB"),
	}
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	t := func(v syscall.Timeval) float64 { return float64(v.Sec) + float64(v.Usec)/1e6 }
	return t(u.Utime) + t(u.Stime)
}

// controlBound is the stated budget of one router, in bytes a second.
const controlBound = 2000

// controlTraffic measures idle routers, everyday load, and a flood.
func controlTraffic(ctx context.Context, o Options) ([]Figure, error) {
	d, _, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	third := o.Length / 3
	time.Sleep(warmup)
	cpu := cpuSeconds()
	idle := controlRate(d, third)
	idleCPU := (cpuSeconds() - cpu) / third.Seconds() / float64(len(d.Members))
	run := loader.Start(ctx, loader.Workload{Seed: o.Seed, Duration: third, DrainTimeout: drainTime, Flows: ordinary(d, ordinaryLoad)})
	busy := controlRate(d, third)
	run.Wait()
	run = loader.Start(ctx, loader.Workload{Seed: o.Seed, Duration: third, DrainTimeout: drainTime, Flows: backlogAll(d)})
	flooded := controlRate(d, third)
	run.Wait()
	return []Figure{
		figure("control-idle", idle, "bytes/s").atMost(controlBound),
		figure("control-busy", busy, "bytes/s").atMost(controlBound),
		figure("control-backlogged", flooded, "bytes/s").atMost(controlBound),
		figure("cpu-idle-router-with-stand-ins", idleCPU*100, "percent-of-core").atMost(1.1),
	}, nil
}

// controlRate returns the mean control traffic of the worst router.
func controlRate(d *demonstrator.Deployment, length time.Duration) float64 {
	before := make([]int64, len(d.Members))
	for i, m := range d.Members {
		before[i] = m.Control.Total()
	}
	time.Sleep(length)
	worst := 0.0
	for i, m := range d.Members {
		worst = max(worst, float64(m.Control.Total()-before[i])/length.Seconds())
	}
	return worst
}
