package rehearser

import (
	"cmp"
	"slices"
)

// UpperBound returns the share of the workload's value that an ideal scheduler could
// earn. It relaxes the problem to one global scheduler that sees all requests and
// never leaves an engine idle: in each second, engine time goes to the requests with
// the highest value per engine second, and requests may be divided arbitrarily. It
// ignores engine faults, so it does not apply to workloads that have them.
func (wl *Workload) UpperBound() float64 {
	var arrivalsBySecond [][]*request
	maxValue := 0.0
	for _, r := range wl.arrivals() {
		s := int(r.arrivedAt.Seconds())
		for len(arrivalsBySecond) <= s {
			arrivalsBySecond = append(arrivalsBySecond, nil)
		}
		arrivalsBySecond[s] = append(arrivalsBySecond[s], r)
		maxValue += r.relativeValue * r.class.Value
	}
	if maxValue == 0 {
		return 1
	}
	// Each prefix is prefilled once, by one engine, and then cached.
	prefilled := map[string]bool{}
	earnedValue := 0.0
	for _, arrivals := range arrivalsBySecond {
		cost := make(map[*request]float64, len(arrivals))
		for _, r := range arrivals {
			cost[r] = wl.EngineModel.engineSeconds(r, !prefilled[r.prefix])
			prefilled[r.prefix] = true
		}
		slices.SortStableFunc(arrivals, func(a, b *request) int {
			return cmp.Compare(b.relativeValue*b.class.Value/cost[b], a.relativeValue*a.class.Value/cost[a])
		})
		engineSecondsLeft := float64(wl.EngineCount)
		for _, r := range arrivals {
			fraction := min(1, engineSecondsLeft/cost[r])
			earnedValue += fraction * r.relativeValue * r.class.Value
			engineSecondsLeft -= fraction * cost[r]
		}
	}
	return earnedValue / maxValue
}

// engineSeconds returns the engine time of a request while all slots are in use.
// prefillPrefix means that the shared prefix is not cached.
func (m *EngineModel) engineSeconds(r *request, prefillPrefix bool) float64 {
	prefillTokens := r.promptTokens
	if !prefillPrefix {
		prefillTokens -= r.prefixTokens
	}
	answerMillis := float64(r.answerTokens) * (m.StepMillis/float64(m.Slots) + m.RequestMillis)
	return (answerMillis + float64(prefillTokens)/m.PrefillTokensPerMilli) / 1000
}
