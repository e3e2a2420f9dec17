package main

import (
	"math"
	"sort"
)

// Random variation of boots and fetches as the protocol specifies it: a boot takes 0.6 to 1.5
// times the boot time of the machine type, and an image is fetched at the rate of the machine
// type plus or minus one third.
const (
	minBootRatio, maxBootRatio           = 0.6, 1.5
	minFetchRateRatio, maxFetchRateRatio = 2.0 / 3, 4.0 / 3
)

const (
	// gridSamples is the number of samples of each distribution where several distributions
	// are combined; every combination of samples is evaluated.
	gridSamples = 40
	// timingSamples is the number of samples of a boot time or fetch rate.
	timingSamples = 8
)

// timing selects the boot times and fetch rates that a bound assumes.
type timing int

const (
	bestCase    timing = iota // shortest boot time and highest fetch rate
	typicalCase               // equally likely values from the whole range of each
)

// sampleRange returns equally likely samples of the range between from and to in the typical
// case, and atBest alone in the best case.
func sampleRange(variation timing, from, to, atBest float64) []float64 {
	if variation == bestCase {
		return []float64{atBest}
	}
	out := make([]float64, timingSamples)
	for i := range out {
		out[i] = from + (to-from)*midpoint(i, timingSamples)
	}
	return out
}

// startConditions describes what must happen before a task can start: whether its machine
// must boot and whether the image must be fetched. Images that the machine fetches
// concurrently share its fetch rate; fewer than 1 counts as 1.
type startConditions struct {
	mustBoot, mustFetch bool
	concurrentImages    float64
	timing              timing
}

// bestColdStart is the best case of a start on a machine that must boot and fetch the image.
var bestColdStart = startConditions{mustBoot: true, mustFetch: true, timing: bestCase}

// typicalColdStart returns the typical case of a start on a machine that must boot and fetch
// a number of images concurrently.
func typicalColdStart(images float64) startConditions {
	return startConditions{mustBoot: true, mustFetch: true, concurrentImages: images, timing: typicalCase}
}

// preparationLevels lists how well machines can be prepared for a task before it is
// submitted, from the best preparation to none.
var preparationLevels = []struct {
	name string
	startConditions
}{
	{"free capacity and a cached image", startConditions{}},
	{"free capacity", startConditions{mustFetch: true, timing: typicalCase}},
	{"no preparation", startConditions{mustBoot: true, mustFetch: true, timing: typicalCase}},
}

// startDelays returns equally likely samples of the time in seconds from a task's submission
// to its start, on the cheapest machine type for the class.
func (s *site) startDelays(class *jobClass, conditions startConditions) []float64 {
	machine := s.cheapestType(class)
	boots, fetches := []float64{0}, []float64{0}
	if conditions.mustBoot {
		boots = sampleRange(conditions.timing,
			minBootRatio*machine.BootSeconds, maxBootRatio*machine.BootSeconds, minBootRatio*machine.BootSeconds)
	}
	if conditions.mustFetch {
		fetches = nil
		for _, gb := range class.Images.SizeGB.samples(gridSamples) {
			for _, rateRatio := range sampleRange(conditions.timing, minFetchRateRatio, maxFetchRateRatio, maxFetchRateRatio) {
				fetches = append(fetches, gb*math.Max(conditions.concurrentImages, 1)/(machine.FetchGBPerSecond*rateRatio))
			}
		}
	}
	var out []float64
	for _, boot := range boots {
		for _, fetch := range fetches {
			out = append(out, boot+fetch)
		}
	}
	return out
}

// startDelayQuantile returns the delay in seconds within which a share of the tasks start.
func (s *site) startDelayQuantile(class *jobClass, conditions startConditions, share float64) float64 {
	delays := s.startDelays(class, conditions)
	sort.Float64s(delays)
	return delays[int(share*float64(len(delays)))]
}

// shareAtMost returns the share of values that are less than or equal to limit.
func shareAtMost(values []float64, limit float64) float64 {
	count := 0
	for _, value := range values {
		if value <= limit {
			count++
		}
	}
	return float64(count) / float64(len(values))
}
