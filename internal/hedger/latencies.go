package hedger

import (
	"math"
	"time"
)

const (
	// shortestTime is the upper bound of the first bucket of latencies.
	shortestTime = time.Millisecond
	// bucketsPerOctave makes a bucket 9% wide, finer than the spread of one server's times.
	bucketsPerOctave = 8
	// bucketCount covers times up to 65 s, longer than any route's timeout.
	bucketCount = 16 * bucketsPerOctave
	// decayStep bounds how often the buckets are decayed.
	decayStep = 500 * time.Millisecond
)

// latencies holds the recent times of one kind of request. Older ones count less. A time that was cut short, as
// the attempt was canceled, is only known to be longer; leaving it out would remove the slow attempts.
type latencies struct {
	decayedAt time.Time
	seen      [bucketCount]float32
	cutShort  [bucketCount]float32
	total     float64
}

func bucket(d time.Duration) int {
	if d <= shortestTime {
		return 0
	}
	return min(bucketCount-1, 1+int(bucketsPerOctave*math.Log2(float64(d)/float64(shortestTime))))
}

// upperBound returns the longest time in a bucket.
func upperBound(b int) time.Duration {
	return time.Duration(float64(shortestTime) * math.Exp2(float64(b)/bucketsPerOctave))
}

// add records a time, or one that is known to be longer than d if cutShort.
func (l *latencies) add(now time.Time, d time.Duration, cutShort bool) {
	l.decay(now)
	if cutShort {
		l.cutShort[bucket(d)]++
	} else {
		l.seen[bucket(d)]++
	}
	l.total++
}

// decay reduces the weight of the recorded times.
func (l *latencies) decay(now time.Time) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
	}
	elapsed := now.Sub(l.decayedAt)
	if elapsed < decayStep {
		return
	}
	factor := halvings(elapsed, timesHalfLife)
	l.decayedAt = now
	for i := range bucketCount {
		l.seen[i] *= float32(factor)
		l.cutShort[i] *= float32(factor)
	}
	l.total *= factor
}

// quantile returns the time that the fraction q of all attempts stay within, by the product-limit (Kaplan-Meier)
// estimate, which allows for times that were cut short. It returns the longest recorded time if more than 1-q
// of the attempts were cut short before their end.
func (l *latencies) quantile(q float64) time.Duration {
	atRisk, longer, last := l.total, 1.0, 0
	for i := range bucketCount {
		seen, cut := float64(l.seen[i]), float64(l.cutShort[i])
		if seen+cut <= 0 {
			continue
		}
		last = i
		if atRisk > 0 {
			longer *= max(0, 1-seen/atRisk)
		}
		atRisk -= seen + cut
		// The sums of the buckets are rounded.
		if longer <= 1-q+1e-6 {
			break
		}
	}
	return upperBound(last)
}

// halvings returns the factor by which a value with a half-life decays.
func halvings(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
