package measurer

import (
	"context"
	"math"
	"time"

	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

const (
	gapSampleInterval = 100 * time.Millisecond
	// warmupTime is not sampled: routers take over the servers in the first second.
	warmupTime = 3 * time.Second
	// drainTimeout bounds the time that open requests may take after the load.
	drainTimeout = 200 * time.Millisecond
)

// backlogFlow returns a flow that keeps the given number of requests of a workspace
// outstanding, at least two at each of its routers.
func backlogFlow(i int, d *demonstrator.Deployment, concurrency int) loader.Flow {
	urls := workspaceURLs(i, d.Members)
	return loader.Flow{
		Workspace: workspaceName(i), APIKey: demonstrator.APIKey(workspaceName(i)), Path: "/v1/completions",
		Model: emulator.ModelName, RouterURLs: urls, Concurrency: max(2, concurrency/len(urls)),
		AnswerTokens: loader.LogUniform(minTokens, maxTokens), MaxHintError: 4,
	}
}

// backlogConcurrency returns how many outstanding requests keep a workspace
// backlogged: four times its share of all slots.
func backlogConcurrency(i int) int {
	totalWeight := largeWorkspaceWeight*largeWorkspaceCount + workspaceCount - largeWorkspaceCount
	slotShare := float64(engineCount*engineSlots) * workspaceWeight(i) / float64(totalWeight)
	return int(4 * slotShare)
}

// backlogFlows returns flows that keep every workspace backlogged.
func backlogFlows(d *demonstrator.Deployment) []loader.Flow {
	var flows []loader.Flow
	for i := range workspaceCount {
		flows = append(flows, backlogFlow(i, d, backlogConcurrency(i)))
	}
	return flows
}

// serviceGap returns the largest difference in weighted service since base between
// any two of the workspaces.
func serviceGap(now, base map[string]float64, workspaces []int) float64 {
	minService, maxService := math.Inf(1), math.Inf(-1)
	for _, i := range workspaces {
		w := workspaceName(i)
		v := (now[w] - base[w]) / workspaceWeight(i)
		minService, maxService = min(minService, v), max(maxService, v)
	}
	return maxService - minService
}

// fairness keeps workspaces backlogged, one of them with false cost hints. Two
// more send bursts and are not compared.
func fairness(ctx context.Context, o Options) ([]Metric, error) {
	d, _, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	workload := loader.Workload{Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: drainTimeout}
	var compared []int
	for i := range workspaceCount {
		f := backlogFlow(i, d, backlogConcurrency(i))
		switch i {
		case workspaceCount - 1:
			f.HintFactor = 0.01
		case workspaceCount - 2, workspaceCount - 3:
			workload.Flows = append(workload.Flows, burstFlows(f, o.LoadDuration)...)
			continue
		}
		compared = append(compared, i)
		workload.Flows = append(workload.Flows, f)
	}
	run := loader.Start(ctx, workload)
	firstQuarter, rest, end := sampleGaps(ctx, run, compared, o.LoadDuration)
	run.Wait()
	bound := 2.0 * maxTokens
	smallest := run.Stats(workspaceName(largeWorkspaceCount), 0)
	total := run.TotalStats()
	return []Metric{
		newMetric("gap-worst", max(firstQuarter, rest), "weighted-tokens").atMost(bound),
		newMetric("gap-first-quarter", firstQuarter, "weighted-tokens").atMost(bound),
		newMetric("gap-rest", rest, "weighted-tokens").atMost(bound),
		newMetric("gap-end", end, "weighted-tokens").atMost(bound),
		newMetric("smallest-complete", float64(smallest.Completed), "requests").atLeast(1),
		newMetric("wrong-answers", float64(total.Wrong), "requests").atMost(0),
		newMetric("cut-answers", float64(total.Truncated), "requests").atMost(0),
		newMetric("tokens-per-second", float64(total.Tokens)/o.LoadDuration.Seconds(), "tokens/s"),
	}, nil
}

// burstFlows splits a flow into bursts. The pauses exceed accountant.IdleGracePeriod,
// so the workspace becomes idle in each.
func burstFlows(f loader.Flow, duration time.Duration) []loader.Flow {
	var flows []loader.Flow
	const on, off = 4 * time.Second, 6 * time.Second
	for at := time.Duration(0); at < duration; at += on + off {
		burst := f
		burst.StartAfter, burst.StopAfter = at, at+on
		flows = append(flows, burst)
	}
	return flows
}

// sampleGaps returns the largest gap of the first quarter, the largest of the rest,
// and the gap at the end.
func sampleGaps(ctx context.Context, run *loader.Run, workspaces []int, duration time.Duration) (firstQuarter, rest, end float64) {
	begin := time.Now()
	var base map[string]float64
	for time.Since(begin) < duration && ctx.Err() == nil {
		time.Sleep(gapSampleInterval)
		elapsed := time.Since(begin)
		if elapsed < warmupTime {
			continue
		}
		now := run.ServedTokens()
		if base == nil {
			base = now
		}
		end = serviceGap(now, base, workspaces)
		if elapsed < duration/4 {
			firstQuarter = max(firstQuarter, end)
		} else {
			rest = max(rest, end)
		}
	}
	return firstQuarter, rest, end
}

// slotUsage is the use of engine slots while requests waited.
type slotUsage struct {
	usedSlotSeconds, totalSlotSeconds float64
	// longestIdle is the longest time that an engine had a free slot while requests
	// waited at any router.
	longestIdle time.Duration
	idleSince   []time.Time
}

const usageSampleInterval = 5 * time.Millisecond

// sample adds one sample of all engines.
func (u *slotUsage) sample(d *demonstrator.Deployment, now time.Time, interval time.Duration) {
	if u.idleSince == nil {
		u.idleSince = make([]time.Time, len(d.Cluster.Engines))
	}
	waiting := hasWaitingRequests(d)
	for i, e := range d.Cluster.Engines {
		active := min(e.Stats().ActiveRequests, engineSlots)
		if !waiting || active == engineSlots {
			u.idleSince[i] = time.Time{}
		} else if u.idleSince[i].IsZero() {
			u.idleSince[i] = now
		} else {
			u.longestIdle = max(u.longestIdle, now.Sub(u.idleSince[i]))
		}
		if waiting {
			u.usedSlotSeconds += float64(active) * interval.Seconds()
			u.totalSlotSeconds += engineSlots * interval.Seconds()
		}
	}
}

// hasWaitingRequests reports whether a model request waits at any router.
func hasWaitingRequests(d *demonstrator.Deployment) bool {
	for _, m := range d.Members {
		if m.Router.WaitingRequests() > 0 {
			return true
		}
	}
	return false
}

// utilisation measures slot use while all workspaces are backlogged, spread
// unevenly over the routers.
func utilisation(ctx context.Context, o Options) ([]Metric, error) {
	d, _, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: drainTimeout, Flows: backlogFlows(d),
	})
	usage := sampleUsage(ctx, d, o.LoadDuration)
	run.Wait()
	total := run.TotalStats()
	return []Metric{
		newMetric("slot-time-used", usage.usedSlotSeconds/usage.totalSlotSeconds, "share").atLeast(0.98),
		newMetric("longest-idle-slot", float64(usage.longestIdle.Milliseconds()), "ms"),
		newMetric("tokens-per-second", float64(total.Tokens)/o.LoadDuration.Seconds(), "tokens/s"),
		newMetric("time-between-tokens-p95", float64(total.TokenInterval.ValueAtQuantile(95))/1000, "ms").atMost(71),
	}, nil
}

// sampleUsage samples the engines for the duration except during the warm-up.
func sampleUsage(ctx context.Context, d *demonstrator.Deployment, duration time.Duration) *slotUsage {
	return sampleUsageAfter(ctx, d, duration, warmupTime)
}

func sampleUsageAfter(ctx context.Context, d *demonstrator.Deployment, duration, delay time.Duration) *slotUsage {
	u := &slotUsage{}
	begin := time.Now()
	last := begin
	for time.Since(begin) < duration && ctx.Err() == nil {
		time.Sleep(usageSampleInterval)
		now := time.Now()
		if now.Sub(begin) > delay {
			u.sample(d, now, now.Sub(last))
		}
		last = now
	}
	return u
}
