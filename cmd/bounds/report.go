package main

import (
	"fmt"
	"io"
	"math"
)

// report prints the bounds of a site.
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
				fmt.Fprintf(w, "; %s boots %.0f s, fetches its median image in %.1f s",
					t.Name, t.Boot, j.Images.GB.Median/t.Fetch)
			}
		}
		fmt.Fprintln(w)
	}
	if s.hasServicesOrGPUs() {
		reportObjectives(w, s)
	} else {
		fmt.Fprintf(w, "  price at least %.2f; useful at most %.2f\n", s.priceBound(), s.usefulBound())
	}
	for _, d := range s.Days {
		fmt.Fprintf(w, "  %s: submissions accepted in time at most %.3f\n", d.Name, s.submitBound(d))
	}
}

// reportObjectives prints what binds each objective of a site with services or GPUs.
//
// Left out is all but the cause named: failures, faulty and slow machines, boots that take
// several times as long or never end, outages, spot instances that are reclaimed, planning,
// calls and the time until a start is reported, refusals for want of capacity, images
// evicted from a cache, tasks that run longer than the others of their job, and what one
// objective costs another.
func reportObjectives(w io.Writer, s *site) {
	machines := 0.0
	for i := range s.Jobs {
		machines += reportClass(w, s, &s.Jobs[i])
	}
	reportImages(w, s, machines)
	if s.State.Writes > 0 {
		reportAcceptance(w, s)
	}
	for _, t := range s.Targets {
		if b, ok := s.objectiveBound(t); ok {
			asked, form := t.Share, "%.3f"
			if t.Kind == "price" {
				asked, form = t.Most, "%.2f"
			}
			fmt.Fprintf(w, "  %s: asked %g, bound "+form+", the site's own best %s; %s; binds: %s\n",
				t.title(), asked, b.most, t.own(), b.other, b.binds)
		}
	}
}

// reportClass prints how many tasks of a class are wanted and how soon they can start. It
// returns how many machines hold those wanted at the start.
func reportClass(w io.Writer, s *site, j *job) (machines float64) {
	t := s.cheapestType(j)
	if t == nil {
		fmt.Fprintf(w, "  %s fits no type\n", j.Name)
		return 0
	}
	share, binds := t.share(j)
	atStart, atEnd := s.alive(j, 0.5), s.alive(j, s.Duration)
	kind := "ordinary"
	if j.Spot {
		kind = "spot"
	}
	median := func(how start) float64 { return s.startQuantile(j, how, 0.5) }
	const rounding = 1e-9 // of the tasks that a machine holds
	fmt.Fprintf(w, "  %s: %.0f tasks wanted at the start, %.0f at the end; %d on a %s by %s, %s ones do; "+
		"start with boot and fetch %.0f s at best, %.0f s in the middle, with a fetch %.0f s, two images at a time %.0f s\n",
		j.Name, atStart, atEnd, int(1/share+rounding), t.Name, binds, kind,
		median(coldAtBest),
		median(start{boot: true, fetch: true, luck: usual}),
		median(start{fetch: true, luck: usual}),
		median(start{fetch: true, images: 2, luck: usual}))
	return atStart * share
}

// reportImages prints how many machines are needed at the start, and the sizes of all
// images and of the caches.
func reportImages(w io.Writer, s *site, machines float64) {
	images := 0.0
	for _, j := range s.Jobs {
		images += j.Images.Count * j.Images.GB.mean()
	}
	fmt.Fprintf(w, "  %.0f machines hold all that is wanted at the start; all images are %.0f GB, caches hold",
		machines, images)
	for _, t := range s.Types {
		fmt.Fprintf(w, " %g GB (%s)", t.Cache, t.Name)
	}
	fmt.Fprintln(w)
}

// reportAcceptance prints how long it takes to accept the jobs of the day's start.
func reportAcceptance(w io.Writer, s *site) {
	jobs := 0.0
	for _, j := range s.Jobs {
		jobs += j.Initial
	}
	fmt.Fprintf(w, "  %.0f jobs at the start need %.1f s to be accepted, "+
		"at one of %g changes a second each and a second's worth at once\n",
		jobs, math.Max(jobs/s.State.Writes-1, 0), s.State.Writes)
}

// own is the best figure according to the site file itself.
func (t target) own() string {
	if t.Best == 0 {
		return "-"
	}
	if t.Kind == "price" {
		return fmt.Sprintf("%.2f", t.Best)
	}
	return fmt.Sprintf("%.3f", 1-t.Best)
}

// title names an objective.
func (t target) title() string {
	out := t.Kind
	if t.Class != "" {
		out += " " + t.Class
	}
	for _, part := range []struct {
		format string
		value  float64
	}{
		{"from %g s on", t.After},
		{"worst %g s", t.Worst},
		{"in %g s", t.Within},
		{"times %g", t.Times},
	} {
		if part.value > 0 {
			out += " " + fmt.Sprintf(part.format, part.value)
		}
	}
	return out
}
