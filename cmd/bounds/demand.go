package main

import (
	"math"
	"sort"
)

// meanAliveStep is the interval in seconds at which the running tasks are counted for their
// mean.
const meanAliveStep = 2

// demand is the mean number of cores that run a class's tasks, without fetches: of arrays
// as if the day never ended, of services, which go on, over the day.
func (s *site) demand() (total float64, byClass map[string]float64) {
	byClass = map[string]float64{}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		cores := j.Arrivals.Rate * j.Tasks.mean() * j.Run.mean() * j.CPUs
		if j.service() {
			cores = s.meanAlive(j) * j.CPUs
		}
		byClass[j.Name] = cores
		total += cores
	}
	return total, byClass
}

// alive is how many tasks of a class would be running at a moment of the day if each began
// when its job came: of services the replicas wanted.
func (s *site) alive(j *job, at float64) float64 {
	first, later := s.cohorts(j, at, 0)
	return first + later
}

// meanAlive is the mean of alive over the day.
func (s *site) meanAlive(j *job) float64 {
	sum, n := 0.0, 0.0
	for at := 1.0; at < s.Duration; at += meanAliveStep {
		sum += s.alive(j, at)
		n++
	}
	return sum / math.Max(n, 1)
}

// cohorts counts the tasks running at a moment, those of the jobs at the start and those
// that came later, without those younger than after.
func (s *site) cohorts(j *job, at, after float64) (first, later float64) {
	tasks := j.Tasks.mean()
	if at >= after {
		first = tasks * j.Initial * j.Run.beyond(at)
	}
	for age := after + 0.5; age < at; age++ {
		later += tasks * j.Arrivals.Rate * j.Run.beyond(age)
	}
	return first, later
}

// offer is how many cores can be rented at a price per core and hour.
type offer struct{ price, cores float64 }

// offers are the cores of all types, spot and on demand, cheapest first.
func (s *site) offers() []offer {
	var out []offer
	for _, t := range s.Types {
		var spot, onDemand float64
		for _, c := range s.Capacity {
			if c.Type == t.Name {
				spot += c.Spot * t.CPUs
				onDemand += c.Count * t.CPUs
			}
		}
		out = append(out, offer{t.Spot / t.CPUs, spot}, offer{t.Price / t.CPUs, onDemand})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].price < out[b].price })
	return out
}

// priceBound is the least price of the mean demand over the least price of a core: full use
// of the cheapest machines first, no idle time, no boots.
func (s *site) priceBound() float64 {
	wanted, _ := s.demand()
	left, cost := wanted, 0.0
	offers := s.offers()
	for _, o := range offers {
		n := math.Min(left, o.cores)
		cost += n * o.price
		left -= n
	}
	return cost / (wanted * offers[0].price)
}

// usefulBound is the most of the money that can be useful when each core that is needed
// boots once and fetches each image of its classes once a day, at the types' mean boot time
// and the best fetch rate.
func (s *site) usefulBound() float64 {
	total, _ := s.demand()
	boot, rate := 0.0, 0.0
	for _, t := range s.Types {
		boot += t.Boot / float64(len(s.Types))
		rate = math.Max(rate, t.Fetch)
	}
	wasted := boot * total
	for _, j := range s.Jobs {
		wasted += j.Images.Count * j.Images.GB.mean() / rate * j.CPUs
	}
	useful := total * s.Duration
	return useful / (useful + wasted)
}

// submitBound is the most submissions that can be accepted in time: none while the state
// service is down, as a job is accepted by a write to it.
func (s *site) submitBound(d day) float64 {
	down := 0.0
	for _, f := range d.Faults {
		if f.Kind == "state_outage" {
			down += f.For
		}
	}
	return 1 - down/s.Duration
}
