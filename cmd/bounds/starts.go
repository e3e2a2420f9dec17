package main

import (
	"math"
	"sort"
)

// What PROTOCOL says of chance: boots take 0.6 to 1.5 times the type's figure, fetches run
// at the type's rate give or take a third.
const (
	bootLeast, bootMost = 0.6, 1.5
	rateLeast, rateMost = 2.0 / 3, 4.0 / 3
)

const (
	// gridPoints is how many points a quantity is taken at when others vary with it.
	gridPoints = 40
	// luckPoints is how many values a boot or a fetch rate takes.
	luckPoints = 8
)

// luck is how boots and fetches go: as well as can be, or as they usually do.
type luck int

const (
	best luck = iota
	usual
)

// between are equally likely values from one figure to another, or only the best one.
func between(l luck, from, to, atBest float64) []float64 {
	if l == best {
		return []float64{atBest}
	}
	out := make([]float64, luckPoints)
	for i := range out {
		out[i] = from + (to-from)*midpoint(i, luckPoints)
	}
	return out
}

// start is how a task starts: what it needs first, and how many images its machine fetches
// at a time, which share the rate.
type start struct {
	boot, fetch bool
	images      float64
	luck        luck
}

// Starts on a machine that must boot and fetch first.
var coldAtBest = start{boot: true, fetch: true, luck: best}

func cold(images float64) start { return start{boot: true, fetch: true, images: images, luck: usual} }

// levels are the levels of preparation for a task, from the best to none.
var levels = []struct {
	name string
	start
}{
	{"room with the image", start{}},
	{"room", start{fetch: true, luck: usual}},
	{"nothing", start{boot: true, fetch: true, luck: usual}},
}

// times are equally likely times from a task's submission to its start.
func (s *site) times(j *job, how start) []float64 {
	t := s.cheapestType(j)
	boots, fetches := []float64{0}, []float64{0}
	if how.boot {
		boots = between(how.luck, bootLeast*t.Boot, bootMost*t.Boot, bootLeast*t.Boot)
	}
	if how.fetch {
		fetches = nil
		for _, gb := range j.Images.GB.points(gridPoints) {
			for _, r := range between(how.luck, rateLeast, rateMost, rateMost) {
				fetches = append(fetches, gb*math.Max(how.images, 1)/(t.Fetch*r))
			}
		}
	}
	var out []float64
	for _, b := range boots {
		for _, f := range fetches {
			out = append(out, b+f)
		}
	}
	return out
}

// startQuantile is the time within which a share of the tasks start.
func (s *site) startQuantile(j *job, how start, share float64) float64 {
	times := s.times(j, how)
	sort.Float64s(times)
	return times[int(share*float64(len(times)))]
}

// within is the share of values that are at most x.
func within(values []float64, x float64) float64 {
	n := 0
	for _, v := range values {
		if v <= x {
			n++
		}
	}
	return float64(n) / float64(len(values))
}
