package main

import (
	"fmt"
	"math"
	"strings"
)

const (
	// upStep is the interval in seconds at which replicas are counted.
	upStep = 2.0
	// spansPerWorst is how many worst spans begin within the length of one.
	spansPerWorst = 3
	// minDivisor stands for a divisor of zero.
	minDivisor = 1e-9
)

// upIn is the share of replica time in a span of the day that is up, counted from after
// seconds after each job's submission. Services of the day's start begin as how says; those
// that come later as later says.
func (s *site) upIn(j *job, after, from, to float64, how, later start) float64 {
	firstStarts, laterStarts := s.times(j, how), s.times(j, later)
	wanted, up := 0.0, 0.0
	for at := from + upStep/2; at < to; at += upStep {
		first, came := s.cohorts(j, at, after)
		wanted += first + came
		up += first * within(firstStarts, at)
		for age := after + 0.5; age < at; age++ {
			up += j.Tasks.mean() * j.Arrivals.Rate * j.Run.beyond(age) * within(laterStarts, age)
		}
	}
	return up / math.Max(wanted, minDivisor)
}

// upBound is upIn for an objective: over all that counts, or in its worst span.
func (s *site) upBound(t target, how, later start) float64 {
	j := s.class(t.Class)
	if t.Worst <= 0 {
		return s.upIn(j, t.After, s.Warmup, s.Duration, how, later)
	}
	least := 1.0
	for from := s.Warmup; from+t.Worst <= s.Duration; from += t.Worst / spansPerWorst {
		least = math.Min(least, s.upIn(j, t.After, from, from+t.Worst, how, later))
	}
	return least
}

// waitBound is the share of tasks that start in time with such preparation: of the class
// that the objective names, or of all classes, by how many tasks come of each.
func (s *site) waitBound(t target, how start) float64 {
	tasks, inTime := 0.0, 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if t.Class == "" || t.Class == j.Name {
			n := j.Tasks.mean() * j.Arrivals.Rate
			tasks += n
			inTime += n * within(s.times(j, how), t.Within)
		}
	}
	return inTime / math.Max(tasks, minDivisor)
}

// deadlineBound is the share of jobs that can end by their deadline if all tasks of a job
// run as long as its first and start so. The deadline depends on the owner's estimate,
// which is off by a factor whose logarithm has estimate_error as its standard deviation.
func (s *site) deadlineBound(t target, how start) float64 {
	j, times := s.class(t.Class), t.Times
	if times == 0 {
		times = 1
	}
	starts := s.times(j, how)
	n, inTime := 0, 0
	for _, run := range j.Run.points(gridPoints) {
		for k := range gridPoints {
			estimate := run * math.Exp(j.Error*normal(midpoint(k, gridPoints)))
			due := times * (j.Deadline.Factor*estimate + j.Deadline.Plus)
			for _, wait := range starts {
				n++
				if wait+run <= due {
					inTime++
				}
			}
		}
	}
	return float64(inTime) / float64(max(n, 1))
}

// usefulTimeBound is the most of a machine's time that can be useful when it is rented for
// the whole day: it boots and fetches one image.
func (s *site) usefulTimeBound(how start) float64 {
	cost, lost := 0.0, 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		t := s.cheapestType(j)
		share, _ := t.share(j)
		weight := s.meanAlive(j) * share * t.cheapest(j)
		times := s.times(j, how)
		mean := 0.0
		for _, x := range times {
			mean += x / float64(len(times))
		}
		cost += weight
		lost += weight * math.Min(mean/s.Duration, 1)
	}
	return 1 - lost/math.Max(cost, minDivisor)
}

// bound is what an objective could reach at best, under which preparation, and what binds
// it.
type bound struct {
	most  float64
	other string // the same with less preparation or luck
	binds string
}

// objectiveBound is the bound of an objective of a site with services or GPUs; ok is false
// if no cause known here bounds it.
func (s *site) objectiveBound(t target) (b bound, ok bool) {
	switch t.Kind {
	case "up":
		b.most = s.upBound(t, coldAtBest, start{})
		var parts []string
		for images := 1.0; images <= 3; images++ {
			parts = append(parts, fmt.Sprintf("%.3f", s.upBound(t, cold(images), start{})))
		}
		b.other = fmt.Sprintf(
			"usual luck at the start, 1, 2 or 3 images a machine at a time: %s; and later services that fetch: %.3f",
			strings.Join(parts, ", "), s.upBound(t, cold(1), start{fetch: true, luck: usual}))
		b.binds = "boots and shared fetches of the services at the start; later room that holds the images"
	case "wait", "guarantee":
		b = s.prepared(t, s.waitBound)
	case "deadline":
		b = s.prepared(t, s.deadlineBound)
		b.binds += "; the estimates"
	case "useful":
		b.most = s.usefulTimeBound(coldAtBest)
		b.other = fmt.Sprintf("usual luck: %.3f", s.usefulTimeBound(cold(1)))
		b.binds = "one boot and one fetch for each machine, kept all day"
	case "price":
		b.most = 1 / s.usefulTimeBound(coldAtBest)
		b.other = fmt.Sprintf("usual luck: %.2f", 1/s.usefulTimeBound(cold(1)))
		b.binds = "the same"
	default:
		return b, false
	}
	return b, true
}

// prepared is a bound at each level of preparation, and the least level that meets the
// objective.
func (s *site) prepared(t target, at func(target, start) float64) bound {
	b := bound{binds: "no preparation is enough"}
	var parts []string
	for i, level := range levels {
		share := at(t, level.start)
		if i == 0 {
			b.most = share
		}
		parts = append(parts, fmt.Sprintf("%s %.3f", level.name, share))
		if share >= t.Share {
			b.binds = "needs " + level.name
		}
	}
	b.other = "with " + strings.Join(parts, ", with ")
	return b
}
