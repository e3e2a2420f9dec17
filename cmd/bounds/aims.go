package main

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
)

// What the protocol says of luck: boots take 0.6 to 1.5 times the type's figure, fetches
// run at the type's rate give or take a third.
const (
	bootLeast, bootMost = 0.6, 1.5
	rateLeast, rateMost = 2.0 / 3, 4.0 / 3
)

// grid is how many points a spread quantity is taken at when others vary with it.
const grid = 40

// points are equally likely values of the quantity.
func (s spread) points(n int) []float64 {
	if len(s.Sizes) > 0 {
		sum := 0.0
		for _, w := range s.Weights {
			sum += w
		}
		var out []float64
		for i, size := range s.Sizes {
			for range int(math.Round(float64(n) * s.Weights[i] / sum)) {
				out = append(out, size)
			}
		}
		return out
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = math.Min(s.Median*math.Exp(s.sigma()*normal((float64(i)+0.5)/float64(n))), s.limit())
	}
	return out
}

// normal is the quantile of the standard normal distribution.
func normal(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

func (s spread) limit() float64 {
	if s.Max > 0 {
		return s.Max
	}
	return math.Inf(1)
}

// beyond is the share of the quantity that is above x.
func (s spread) beyond(x float64) float64 {
	switch {
	case x >= s.limit():
		return 0
	case x <= 0:
		return 1
	case s.sigma() == 0:
		if x < s.Median {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(math.Log(x/s.Median)/s.sigma()/math.Sqrt2)
}

func (j *job) service() bool { return j.Kind == "service" }

// hasNews says whether the site has what only these bounds know of.
func (s *site) hasNews() bool {
	for i := range s.Jobs {
		if s.Jobs[i].service() || s.Jobs[i].GPUs > 0 {
			return true
		}
	}
	return false
}

// share is the part of a machine that a task takes, and which amount says so; above 1
// it does not fit.
func (t *machineType) share(j *job) (part float64, binds string) {
	for _, r := range []struct {
		name       string
		need, have float64
	}{{"cards", j.GPUs, t.GPUs}, {"cores", j.CPUs, t.CPUs}, {"memory", j.Memory, t.Memory}} {
		if r.need == 0 {
			continue
		}
		if x := r.need / math.Max(r.have, 1e-9); x > part {
			part, binds = x, r.name
		}
	}
	return part, binds
}

// usual is the type that a class runs on cheapest, by what a task costs an hour.
func (s *site) usual(j *job) *machineType {
	var best *machineType
	least := math.Inf(1)
	for i := range s.Types {
		t := &s.Types[i]
		part, _ := t.share(j)
		if cost := part * t.cheapest(j); part <= 1 && cost < least {
			best, least = t, cost
		}
	}
	return best
}

// cheapest is the least price of the type for a class: spot, if it may use spot machines.
func (t *machineType) cheapest(j *job) float64 {
	if j.Spot && t.Spot > 0 {
		return math.Min(t.Spot, t.Price)
	}
	return t.Price
}

// alive is how many tasks of a class would be running at a moment of the day if each
// began when its job came: of services the replicas wanted.
func (s *site) alive(j *job, at float64) float64 {
	first, later := s.cohorts(j, at, 0)
	return first + later
}

// meanAlive is their mean over the day.
func (s *site) meanAlive(j *job) float64 {
	sum, n := 0.0, 0.0
	for at := 1.0; at < s.Duration; at += 2 {
		sum += s.alive(j, at)
		n++
	}
	return sum / math.Max(n, 1)
}

// cohorts divides them into those of the jobs at the start and those that came later,
// leaving out what is younger than after.
func (s *site) cohorts(j *job, at, after float64) (first, later float64) {
	tasks := j.Tasks.mean()
	if at >= after {
		first = tasks * j.Initial * j.Run.beyond(at)
	}
	for a := after + 0.5; a < at; a++ {
		later += tasks * j.Arrivals.Rate * j.Run.beyond(a)
	}
	return first, later
}

// luck is how boots and fetches go: as they usually do, or as well as can be.
type luck int

const (
	best luck = iota
	usual
)

func between(l luck, from, to float64, good float64) []float64 {
	if l == best {
		return []float64{good}
	}
	out := make([]float64, 8)
	for i := range out {
		out[i] = from + (to-from)*(float64(i)+0.5)/float64(len(out))
	}
	return out
}

// start is how a task's start goes: what it needs first, and how many images its machine
// fetches at a time, which share the rate.
type start struct {
	boot, fetch bool
	images      float64
	luck        luck
}

// times are equally likely times from a task's coming to its start.
func (s *site) times(j *job, how start) []float64 {
	t := s.usual(j)
	boots, fetches := []float64{0}, []float64{0}
	if how.boot {
		boots = between(how.luck, bootLeast*t.Boot, bootMost*t.Boot, bootLeast*t.Boot)
	}
	if how.fetch {
		fetches = nil
		for _, gb := range j.Images.GB.points(grid) {
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

// Levels of preparation for what comes: room that holds the image, room, or nothing.
var levels = []struct {
	name string
	start
}{
	{"room with the image", start{}},
	{"room", start{fetch: true, luck: usual}},
	{"nothing", start{boot: true, fetch: true, luck: usual}},
}

// upIn is the share of replica time in a span of the day that is up, from after_s after
// each job's coming. The services at the start boot and fetch as how says; those that
// come later meet the room that later says.
func (s *site) upIn(j *job, after, from, to float64, how, later start) float64 {
	const step = 2.0
	first, rest := s.times(j, how), s.times(j, later)
	wanted, up := 0.0, 0.0
	for at := from + step/2; at < to; at += step {
		atStart, came := s.cohorts(j, at, after)
		wanted += atStart + came
		up += atStart * within(first, at)
		for a := after + 0.5; a < at; a++ {
			up += j.Tasks.mean() * j.Arrivals.Rate * j.Run.beyond(a) * within(rest, a)
		}
	}
	return up / math.Max(wanted, 1e-9)
}

// upBound is the same for an aim: over all that counts, or in its worst span.
func (s *site) upBound(t target, how, later start) float64 {
	j := s.class(t.Class)
	if t.Worst <= 0 {
		return s.upIn(j, t.After, s.Warmup, s.Duration, how, later)
	}
	least := 1.0
	for from := s.Warmup; from+t.Worst <= s.Duration; from += t.Worst / 3 {
		least = math.Min(least, s.upIn(j, t.After, from, from+t.Worst, how, later))
	}
	return least
}

func (s *site) class(name string) *job {
	for i := range s.Jobs {
		if s.Jobs[i].Name == name {
			return &s.Jobs[i]
		}
	}
	return &job{}
}

// waitBound is the share of tasks that start within a time with such preparation; of all
// classes, by how many tasks come of each, if the aim names none.
func (s *site) waitBound(t target, how start) float64 {
	sum, in := 0.0, 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if t.Class == "" || t.Class == j.Name {
			n := j.Tasks.mean() * j.Arrivals.Rate
			sum += n
			in += n * within(s.times(j, how), t.Within)
		}
	}
	return in / math.Max(sum, 1e-9)
}

// deadlineBound is the share of jobs that can end by their deadline, all tasks of a job
// running as long as its first and starting so. The owner's estimate, which the deadline
// is reckoned from, is off by a factor whose logarithm has estimate_error as its deviation.
func (s *site) deadlineBound(t target, how start) float64 {
	j, times := s.class(t.Class), t.Times
	if times == 0 {
		times = 1
	}
	starts := s.times(j, how)
	n, in := 0, 0
	for _, run := range j.Run.points(grid) {
		for k := range grid {
			estimate := run * math.Exp(j.Error*normal((float64(k)+0.5)/grid))
			due := times * (j.Deadline.Factor*estimate + j.Deadline.Plus)
			for _, wait := range starts {
				n++
				if wait+run <= due {
					in++
				}
			}
		}
	}
	return float64(in) / float64(max(n, 1))
}

// wornBound is the most of a machine's time that can be useful when it is hired for the
// whole day: it boots and fetches one image.
func (s *site) wornBound(how start) float64 {
	cost, lost := 0.0, 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		t := s.usual(j)
		part, _ := t.share(j)
		weight := s.meanAlive(j) * part * t.cheapest(j)
		times := s.times(j, how)
		mean := 0.0
		for _, x := range times {
			mean += x / float64(len(times))
		}
		cost += weight
		lost += weight * math.Min(mean/s.Duration, 1)
	}
	return 1 - lost/math.Max(cost, 1e-9)
}

// bound is what an aim could reach at best, under which preparation, and what binds it.
type bound struct {
	most  float64
	other string // the same with less
	binds string
}

// aimBound is the bound of an aim of a site with services or cards; ok is false for
// aims that no cause known here bounds.
func (s *site) aimBound(t target) (b bound, ok bool) {
	cold := func(images float64) start { return start{boot: true, fetch: true, images: images, luck: usual} }
	switch t.Kind {
	case "up":
		b.most = s.upBound(t, start{boot: true, fetch: true, luck: best}, start{})
		var parts []string
		for images := 1.0; images <= 3; images++ {
			parts = append(parts, fmt.Sprintf("%.3f", s.upBound(t, cold(images), start{})))
		}
		b.other = fmt.Sprintf("usual luck at the start, 1, 2 or 3 images a machine at a time: %s; and later services that fetch: %.3f",
			strings.Join(parts, ", "), s.upBound(t, cold(1), start{fetch: true, luck: usual}))
		b.binds = "boots and shared fetches of the services at the start; later room that holds the images"
	case "wait", "guarantee":
		b.most, b.other, b.binds = s.prepared(t, s.waitBound)
	case "deadline":
		b.most, b.other, b.binds = s.prepared(t, s.deadlineBound)
		b.binds += "; the estimates"
	case "useful":
		b.most = s.wornBound(start{boot: true, fetch: true, luck: best})
		b.other = fmt.Sprintf("usual luck: %.3f", s.wornBound(cold(1)))
		b.binds = "one boot and one fetch for each machine, kept all day"
	case "price":
		b.most = 1 / s.wornBound(start{boot: true, fetch: true, luck: best})
		b.other = fmt.Sprintf("usual luck: %.2f", 1/s.wornBound(cold(1)))
		b.binds = "the same"
	default:
		return b, false
	}
	return b, true
}

// prepared is a bound at each level of preparation, and the least that meets the aim.
func (s *site) prepared(t target, at func(target, start) float64) (most float64, other, binds string) {
	var parts []string
	binds = "no preparation is enough"
	for _, l := range levels {
		v := at(t, l.start)
		if parts == nil {
			most = v
		}
		parts = append(parts, fmt.Sprintf("%s %.3f", l.name, v))
		if v >= t.Share {
			binds = "needs " + l.name
		}
	}
	return most, "with " + strings.Join(parts, ", with "), binds
}

// own is what the site file itself takes for the best: the least that anyone could miss.
func (t target) own() string {
	if t.Best == 0 {
		return "-"
	}
	if t.Kind == "price" {
		return fmt.Sprintf("%.2f", t.Best)
	}
	return fmt.Sprintf("%.3f", 1-t.Best)
}

func (t target) title() string {
	out := t.Kind
	if t.Class != "" {
		out += " " + t.Class
	}
	for _, part := range []struct {
		text string
		v    float64
	}{{"from %g s on", t.After}, {"worst %g s", t.Worst}, {"in %g s", t.Within}, {"times %g", t.Times}} {
		if part.v > 0 {
			out += " " + fmt.Sprintf(part.text, part.v)
		}
	}
	return out
}

// reportAims prints what binds each aim of a site with services or cards. Left out is all
// but the cause named: failures, faulty and slow machines, boots that take several times
// as long or never end, outages, spot machines that are taken, planning, calls and the time
// until a start is heard of, refusals for want of capacity, images that a cache has dropped,
// tasks of a job that run longer than its others, and what one aim costs another.
func reportAims(w io.Writer, s *site) {
	machines := 0.0
	for i := range s.Jobs {
		j := &s.Jobs[i]
		t := s.usual(j)
		if t == nil {
			fmt.Fprintf(w, "  %s fits no type\n", j.Name)
			continue
		}
		part, binds := t.share(j)
		atStart, atEnd := s.alive(j, 0.5), s.alive(j, s.Duration)
		machines += atStart * part
		kind := "ordinary"
		if j.Spot {
			kind = "spot"
		}
		fmt.Fprintf(w, "  %s: %.0f tasks wanted at the start, %.0f at the end; %d on a %s by %s, %s ones do; start with boot and fetch %.0f s at best, %.0f s in the middle, with a fetch %.0f s, two images at a time %.0f s\n",
			j.Name, atStart, atEnd, int(1/part+1e-9), t.Name, binds, kind, s.quantile(j, start{boot: true, fetch: true, luck: best}, 0.5),
			s.quantile(j, start{boot: true, fetch: true, luck: usual}, 0.5), s.quantile(j, start{fetch: true, luck: usual}, 0.5),
			s.quantile(j, start{fetch: true, images: 2, luck: usual}, 0.5))
	}
	images := 0.0
	for _, j := range s.Jobs {
		images += j.Images.Count * j.Images.GB.mean()
	}
	fmt.Fprintf(w, "  %.0f machines hold all that is wanted at the start; all images are %.0f GB, caches hold", machines, images)
	for _, t := range s.Types {
		fmt.Fprintf(w, " %g GB (%s)", t.Cache, t.Name)
	}
	fmt.Fprintln(w)
	if s.State.Writes > 0 {
		jobs := 0.0
		for _, j := range s.Jobs {
			jobs += j.Initial
		}
		fmt.Fprintf(w, "  %.0f jobs at the start need %.1f s to be accepted, at one of %g changes a second each and a second's worth at once\n",
			jobs, math.Max(jobs/s.State.Writes-1, 0), s.State.Writes)
	}
	for _, t := range s.Targets {
		if b, ok := s.aimBound(t); ok {
			asked, form := t.Share, "%.3f"
			if t.Kind == "price" {
				asked, form = t.Most, "%.2f"
			}
			fmt.Fprintf(w, "  %s: asked %g, bound "+form+", the site's own best %s; %s; binds: %s\n", t.title(), asked, b.most, t.own(), b.other, b.binds)
		}
	}
}

// quantile is the time in which a share of the tasks start.
func (s *site) quantile(j *job, how start, share float64) float64 {
	times := s.times(j, how)
	sort.Float64s(times)
	return times[int(share*float64(len(times)))]
}
