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

// meanTokensPerRequest is the mean of the log-uniform cost from minTokens to
// maxTokens.
const meanTokensPerRequest = 215.0

// engineRequestsPerSecond returns the capacity of all engines.
func engineRequestsPerSecond() float64 {
	tokensPerSlotSecond := float64(time.Second) / float64(emulator.DefaultEngineConfig.TokenInterval)
	return engineCount * engineSlots * tokensPerSlotSecond / meanTokensPerRequest
}

const (
	// normalLoadFactor is the load of all workspaces together outside of a flood, as
	// a fraction of the capacity.
	normalLoadFactor = 0.7
	// floodLoadFactor is the load of a flood as a multiple of the capacity.
	floodLoadFactor = 20
	// minGoodputRatio is the share of their goodput that other workspaces must keep.
	minGoodputRatio = 0.95
	// maxRefusalMillis bounds the time to a refusal: a refused caller must not wait
	// for a timeout.
	maxRefusalMillis = 100.0
)

// normalFlows returns flows that use the given fraction of the capacity, divided
// among the workspaces by weight.
func normalFlows(d *demonstrator.Deployment, loadFactor float64) []loader.Flow {
	totalWeight := float64(largeWorkspaceWeight*largeWorkspaceCount + workspaceCount - largeWorkspaceCount)
	var flows []loader.Flow
	for i := range workspaceCount {
		rate := engineRequestsPerSecond() * loadFactor * workspaceWeight(i) / totalWeight
		for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
			f := backlogFlow(i, d, 0)
			f.Path, f.Concurrency, f.RequestsPerSecond = path, 0, rate/2
			flows = append(flows, f)
		}
	}
	return flows
}

func floodLeastUrgent(ctx context.Context, o Options) ([]Metric, error) {
	return flood(ctx, o, "/v1/completions")
}

func floodMostUrgent(ctx context.Context, o Options) ([]Metric, error) {
	return flood(ctx, o, "/v1/chat/completions")
}

// flood runs normal load throughout and adds a flood by one workspace at all
// routers for the second half.
func flood(ctx context.Context, o Options, path string) ([]Metric, error) {
	d, _, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	settleTime, floodStart := o.LoadDuration/8, o.LoadDuration/2
	workload := loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: drainTimeout, Flows: normalFlows(d, normalLoadFactor),
		PhaseStarts: []time.Duration{settleTime, floodStart, floodStart + settleTime},
	}
	var urls []string
	for _, m := range d.Members {
		urls = append(urls, m.URL())
	}
	flooder := workspaceCount - 1
	workload.Flows = append(workload.Flows, loader.Flow{
		Workspace: workspaceName(flooder), APIKey: demonstrator.APIKey(workspaceName(flooder)), Path: path,
		Model: emulator.ModelName, RouterURLs: urls, RequestsPerSecond: engineRequestsPerSecond() * floodLoadFactor, StartAfter: floodStart,
		AnswerTokens: loader.LogUniform(minTokens, maxTokens), MaxHintError: 4,
	})
	run := loader.Start(ctx, workload)
	time.Sleep(floodStart + settleTime)
	controlRate := maxControlRate(d, o.LoadDuration-floodStart-settleTime)
	run.Wait()
	metrics := floodMetrics(run, flooder)
	return append(metrics, newMetric("control-flood", controlRate, "bytes/s").atMost(maxControlBytesPerSecond)), nil
}

// floodMetrics compares the flood, phase 3, with the time before it, phase 1.
// Phases 0 and 2 are left out because the load has not settled.
func floodMetrics(run *loader.Run, flooder int) []Metric {
	before, during := run.Stats("", 0), run.Stats("", 0)
	for i := range workspaceCount {
		if i == flooder {
			continue
		}
		before.Merge(run.Stats(workspaceName(i), 1))
		during.Merge(run.Stats(workspaceName(i), 3))
	}
	goodput := func(complete, started int64) float64 { return float64(complete) / float64(max(1, started)) }
	goodputBefore, goodputDuring := goodput(before.Completed, before.Started), goodput(during.Completed, during.Started)
	firstTokenBefore := float64(before.TimeToFirstToken.ValueAtQuantile(95)) / 1000
	firstTokenDuring := float64(during.TimeToFirstToken.ValueAtQuantile(95)) / 1000
	flooderStats := run.Stats(workspaceName(flooder), 3)
	total := run.TotalStats()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return []Metric{
		newMetric("goodput-kept", goodputDuring/goodputBefore, "share").atLeast(minGoodputRatio),
		newMetric("goodput-before", goodputBefore, "share"),
		newMetric("first-token-p95-before", firstTokenBefore, "ms"),
		newMetric("first-token-p95-flood", firstTokenDuring, "ms").atMost(2 * firstTokenBefore),
		newMetric("flooder-refused", float64(flooderStats.NotRun), "requests"),
		newMetric("refusal-p95", float64(flooderStats.RefusalLatency.ValueAtQuantile(95))/1000, "ms").atMost(maxRefusalMillis),
		newMetric("unknown", float64(total.OutcomeUnknown), "requests").atMost(0),
		newMetric("wrong-answers", float64(total.Wrong), "requests").atMost(0),
		newMetric("heap-all-processes", float64(memory.HeapAlloc)/(1<<20), "MB"),
	}
}

// cpuSeconds returns the CPU time that this process has used.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	seconds := func(v syscall.Timeval) float64 { return float64(v.Sec) + float64(v.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}

// maxControlBytesPerSecond is the control traffic budget of one router.
const maxControlBytesPerSecond = 2000

// controlTraffic measures idle routers, normal load, and backlogged workspaces.
func controlTraffic(ctx context.Context, o Options) ([]Metric, error) {
	d, _, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	third := o.LoadDuration / 3
	time.Sleep(warmupTime)
	cpu := cpuSeconds()
	idle := maxControlRate(d, third)
	idleCPU := (cpuSeconds() - cpu) / third.Seconds() / float64(len(d.Members))
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: third, DrainTimeout: drainTimeout, Flows: normalFlows(d, normalLoadFactor),
	})
	loaded := maxControlRate(d, third)
	run.Wait()
	run = loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: third, DrainTimeout: drainTimeout, Flows: backlogFlows(d),
	})
	backlogged := maxControlRate(d, third)
	run.Wait()
	return []Metric{
		newMetric("control-idle", idle, "bytes/s").atMost(maxControlBytesPerSecond),
		newMetric("control-busy", loaded, "bytes/s").atMost(maxControlBytesPerSecond),
		newMetric("control-backlogged", backlogged, "bytes/s").atMost(maxControlBytesPerSecond),
		newMetric("cpu-idle-router-with-stand-ins", idleCPU*100, "percent-of-core").atMost(1.1),
	}, nil
}

// maxControlRate returns the highest mean control traffic of any router, in bytes
// per second.
func maxControlRate(d *demonstrator.Deployment, duration time.Duration) float64 {
	before := make([]int64, len(d.Members))
	for i, m := range d.Members {
		before[i] = m.ControlTraffic.Total()
	}
	time.Sleep(duration)
	worst := 0.0
	for i, m := range d.Members {
		worst = max(worst, float64(m.ControlTraffic.Total()-before[i])/duration.Seconds())
	}
	return worst
}
