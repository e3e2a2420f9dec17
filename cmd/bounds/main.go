// Command bounds reads a site file and prints, for each of its aims, how good
// the figure could be at best on a day, whatever the scheduler does. The bounds
// are coarse on purpose: each leaves out everything but the one cause it names.
// Sites with services or cards get a line for each aim, see reportAims.
package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"sort"

	"github.com/BurntSushi/toml"
)

type spread struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
	Sizes   []float64 `toml:"sizes"`   // these, if there are any,
	Weights []float64 `toml:"weights"` // so often
}

// sigma is the deviation of the logarithm.
func (s spread) sigma() float64 {
	if s.P95 <= s.Median || s.Median <= 0 {
		return 0
	}
	return math.Log(s.P95/s.Median) / 1.645
}

// mean of a lognormal quantity with this median and 95th percentile, cut at max, or of
// the sizes named.
func (s spread) mean() float64 {
	if len(s.Sizes) > 0 {
		sum, weights := 0.0, 0.0
		for i, w := range s.Weights {
			sum += w * s.Sizes[i]
			weights += w
		}
		return sum / weights
	}
	if s.sigma() == 0 {
		return s.Median
	}
	sum, n := 0.0, 2000
	for i := 0; i < n; i++ {
		sum += math.Min(s.Median*math.Exp(s.sigma()*normal((float64(i)+0.5)/float64(n))), s.Max)
	}
	return sum / float64(n)
}

type site struct {
	Name     string  `toml:"name"`
	Duration float64 `toml:"duration_s"`
	Warmup   float64 `toml:"warmup_s"` // what comes before does not count
	State    struct {
		Writes float64 `toml:"write_rps"`
	} `toml:"state"`
	Types    []machineType `toml:"machine_types"`
	Capacity []struct {
		Type  string  `toml:"type"`
		Count float64 `toml:"count"`
		Spot  float64 `toml:"spot"`
	} `toml:"capacity"`
	Jobs    []job    `toml:"jobs"`
	Targets []target `toml:"targets"`
	Days    []day    `toml:"day"`
}

type machineType struct {
	Name   string  `toml:"name"`
	CPUs   float64 `toml:"cpus"`
	GPUs   float64 `toml:"gpus"`
	Memory float64 `toml:"memory_gb"`
	Price  float64 `toml:"price"`
	Spot   float64 `toml:"spot_price"`
	Cache  float64 `toml:"cache_gb"`
	Fetch  float64 `toml:"fetch_gb_per_s"`
	Boot   float64 `toml:"boot_s"`
}

type job struct {
	Name     string  `toml:"name"`
	Kind     string  `toml:"kind"`
	CPUs     float64 `toml:"cpus"`
	GPUs     float64 `toml:"gpus"`
	Memory   float64 `toml:"memory_gb"`
	Spot     bool    `toml:"spot"`
	Tasks    spread  `toml:"tasks"`
	Run      spread  `toml:"run_s"` // of a service: until it is cancelled
	Initial  float64 `toml:"initial"`
	Arrivals struct {
		Rate float64 `toml:"rate"`
	} `toml:"arrivals"`
	Images struct {
		Count float64 `toml:"count"`
		GB    spread  `toml:"gb"`
	} `toml:"images"`
	Error    float64 `toml:"estimate_error"`
	Deadline struct {
		Factor float64 `toml:"factor"`
		Plus   float64 `toml:"plus_s"`
	} `toml:"deadline"`
}

// target is an aim. Best is what is missed at best, as the site file has it.
type target struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within float64 `toml:"within_s"`
	After  float64 `toml:"after_s"`
	Worst  float64 `toml:"worst_s"`
	Times  float64 `toml:"times"`
	Share  float64 `toml:"share"`
	Most   float64 `toml:"most"`
	Best   float64 `toml:"best"`
}

type day struct {
	Name   string `toml:"name"`
	Faults []struct {
		At   float64 `toml:"at_s"`
		Kind string  `toml:"kind"`
		For  float64 `toml:"for_s"`
	} `toml:"faults"`
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: bounds SITE.toml ...")
		os.Exit(2)
	}
	for _, path := range os.Args[1:] {
		var s site
		if _, err := toml.DecodeFile(path, &s); err != nil {
			fmt.Fprintln(os.Stderr, "bounds:", err)
			os.Exit(1)
		}
		report(os.Stdout, &s)
	}
}

// demand is the mean number of cores that run a class's tasks, fetches left out: of
// arrays as if the day never ended, of services, which live on, over the day.
func (s *site) demand() (total float64, byClass map[string]float64) {
	byClass = map[string]float64{}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if j.service() {
			byClass[j.Name] = s.meanAlive(j) * j.CPUs
			total += byClass[j.Name]
			continue
		}
		d := j.Arrivals.Rate * j.Tasks.mean() * j.Run.mean() * j.CPUs
		byClass[j.Name] = d
		total += d
	}
	return total, byClass
}

// offer is cores that can be had at a price per core and hour.
type offer struct{ price, cores float64 }

func (s *site) offers() []offer {
	var out []offer
	for _, t := range s.Types {
		var spot, plain float64
		for _, c := range s.Capacity {
			if c.Type == t.Name {
				spot += c.Spot * t.CPUs
				plain += c.Count * t.CPUs
			}
		}
		out = append(out, offer{t.Spot / t.CPUs, spot}, offer{t.Price / t.CPUs, plain})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].price < out[b].price })
	return out
}

// priceBound is the least price of the mean demand over the least price of a
// core: full use of the cheapest machines first, no idle time, no boots.
func (s *site) priceBound() float64 {
	left, _ := s.demand()
	want, cost := left, 0.0
	offers := s.offers()
	for _, o := range offers {
		n := math.Min(left, o.cores)
		cost += n * o.price
		left -= n
	}
	return cost / (want * offers[0].price)
}

// usefulBound is the most of the money that can be useful when each core that
// is needed boots once and fetches each image of its classes once a day, at
// the types' mean boot time and the best fetch rate.
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

// submitBound is the most submissions that can be accepted in time: none can be
// while the state service is down, as accepting needs a durable word.
func (s *site) submitBound(d day) float64 {
	down := 0.0
	for _, f := range d.Faults {
		if f.Kind == "state_outage" {
			down += f.For
		}
	}
	return 1 - down/s.Duration
}

func report(w io.Writer, s *site) {
	total, byClass := s.demand()
	cores := 0.0
	for _, o := range s.offers() {
		cores += o.cores
	}
	fmt.Fprintf(w, "%s: %.0f of %.0f cores run tasks on average\n", s.Name, total, cores)
	for _, j := range s.Jobs {
		fmt.Fprintf(w, "  %s: %.0f cores on average", j.Name, byClass[j.Name])
		for _, t := range s.Types {
			if t.CPUs >= j.CPUs {
				fmt.Fprintf(w, "; %s boots %.0f s, fetches its median image in %.1f s", t.Name, t.Boot, j.Images.GB.Median/t.Fetch)
			}
		}
		fmt.Fprintln(w)
	}
	if s.hasNews() {
		reportAims(w, s)
	} else {
		fmt.Fprintf(w, "  price at least %.2f; useful at most %.2f\n", s.priceBound(), s.usefulBound())
	}
	for _, d := range s.Days {
		fmt.Fprintf(w, "  %s: submissions accepted in time at most %.3f\n", d.Name, s.submitBound(d))
	}
}
