package main

import (
	"fmt"
	"io"
	"math"
)

// report prints the demand and the bounds of a site.
func report(w io.Writer, s *site) {
	totalCores, coresByClass := s.meanDemandCores()
	rentableCores := 0.0
	for _, offer := range s.coreOffers() {
		rentableCores += offer.cores
	}
	fmt.Fprintf(w, "%s: %.0f of %.0f cores run tasks on average\n", s.Name, totalCores, rentableCores)
	for _, class := range s.Classes {
		fmt.Fprintf(w, "  %s: %.0f cores on average", class.Name, coresByClass[class.Name])
		for _, machine := range s.MachineTypes {
			if machine.Cores >= class.Cores {
				fmt.Fprintf(w, "; %s boots %.0f s, fetches its median image in %.1f s",
					machine.Name, machine.BootSeconds, class.Images.SizeGB.Median/machine.FetchGBPerSecond)
			}
		}
		fmt.Fprintln(w)
	}
	if s.hasServicesOrGPUs() {
		reportObjectives(w, s)
	} else {
		fmt.Fprintf(w, "  price at least %.2f; useful at most %.2f\n", s.priceBound(), s.usefulCostBound())
	}
	for _, d := range s.Days {
		fmt.Fprintf(w, "  %s: submissions accepted in time at most %.3f\n", d.Name, s.submissionBound(d))
	}
}

// reportObjectives prints the bound of each objective of a site with services or GPUs, and
// the cause that limits it.
//
// Each bound considers only that cause. It ignores failures, faulty and slow machines, boots
// that take several times as long or never finish, outages, reclaimed spot instances, the
// time for planning, for remote calls and until a start is reported, launches refused for
// lack of capacity, images evicted from a cache, tasks that run longer than the others of
// their job, and conflicts between objectives.
func reportObjectives(w io.Writer, s *site) {
	machines := 0.0
	for i := range s.Classes {
		machines += reportClass(w, s, &s.Classes[i])
	}
	reportImages(w, s, machines)
	if s.State.WritesPerSecond > 0 {
		reportAcceptance(w, s)
	}
	for _, slo := range s.Objectives {
		if b, ok := s.objectiveBound(slo); ok {
			target, format := slo.MinShare, "%.3f"
			if slo.Kind == "price" {
				target, format = slo.MaxPriceRatio, "%.2f"
			}
			fmt.Fprintf(w, "  %s: target %g, bound "+format+", best value stated by the site %s; %s; limiting factor: %s\n",
				slo.title(), target, b.value, slo.statedBestText(), b.otherCases, b.limitingFactor)
		}
	}
}

// reportClass prints how many tasks of a class are wanted at the start and at the end of the
// day, how many fit on a machine of the cheapest type, and how soon they can start. It returns
// the number of machines that the tasks wanted at the start occupy.
func reportClass(w io.Writer, s *site, class *jobClass) (machines float64) {
	machine := s.cheapestType(class)
	if machine == nil {
		fmt.Fprintf(w, "  %s fits on no machine type\n", class.Name)
		return 0
	}
	share, limitedBy := machine.occupiedShare(class)
	atStart, atEnd := s.runningTasks(class, 0.5), s.runningTasks(class, s.DurationSeconds)
	kind := "on demand"
	if class.AllowsSpot {
		kind = "spot"
	}
	median := func(conditions startConditions) float64 { return s.startDelayQuantile(class, conditions, 0.5) }
	// roundingTolerance, in tasks per machine, keeps a quotient just below a whole number from
	// being truncated to the next lower one.
	const roundingTolerance = 1e-9
	fmt.Fprintf(w, "  %s: %.0f tasks wanted at the start, %.0f at the end; %d fit on a %s, limited by %s (%s); "+
		"median start delay with boot and fetch %.0f s at best, %.0f s typically, "+
		"with one fetch %.0f s, with two concurrent fetches %.0f s\n",
		class.Name, atStart, atEnd, int(1/share+roundingTolerance), machine.Name, limitedBy, kind,
		median(bestColdStart),
		median(startConditions{mustBoot: true, mustFetch: true, timing: typicalCase}),
		median(startConditions{mustFetch: true, timing: typicalCase}),
		median(startConditions{mustFetch: true, concurrentImages: 2, timing: typicalCase}))
	return atStart * share
}

// reportImages prints the number of machines that the tasks wanted at the start occupy, the
// total size of all images, and the size of each machine type's image cache.
func reportImages(w io.Writer, s *site, machines float64) {
	imagesGB := 0.0
	for _, class := range s.Classes {
		imagesGB += class.Images.Count * class.Images.SizeGB.mean()
	}
	fmt.Fprintf(w, "  %.0f machines hold all tasks wanted at the start; all images are %.0f GB, caches hold",
		machines, imagesGB)
	for _, machine := range s.MachineTypes {
		fmt.Fprintf(w, " %g GB (%s)", machine.CacheGB, machine.Name)
	}
	fmt.Fprintln(w)
}

// reportAcceptance prints how long it takes to accept the jobs that are submitted at the start
// of the day. Each job takes one write to the state service, which admits a burst of one
// second's writes.
func reportAcceptance(w io.Writer, s *site) {
	jobs := 0.0
	for _, class := range s.Classes {
		jobs += class.InitialJobs
	}
	fmt.Fprintf(w, "  %.0f jobs at the start need %.1f s to be accepted, "+
		"at one write each, %g writes per second and a burst of one second's writes\n",
		jobs, math.Max(jobs/s.State.WritesPerSecond-1, 0), s.State.WritesPerSecond)
}

// statedBestText formats the best value that the site file states, as a share or price ratio
// like the bound; "-" if it states none.
func (o objective) statedBestText() string {
	if o.StatedBest == 0 {
		return "-"
	}
	if o.Kind == "price" {
		return fmt.Sprintf("%.2f", o.StatedBest)
	}
	return fmt.Sprintf("%.3f", 1-o.StatedBest)
}

// title returns the objective's kind, its class and those of its limits that are set.
func (o objective) title() string {
	out := o.Kind
	if o.Class != "" {
		out += " " + o.Class
	}
	for _, part := range []struct {
		format string
		value  float64
	}{
		{"after %g s", o.AfterSeconds},
		{"in the worst window of %g s", o.WorstWindowSeconds},
		{"within %g s", o.WithinSeconds},
		{"within %g times the deadline", o.DeadlineMultiple},
	} {
		if part.value > 0 {
			out += " " + fmt.Sprintf(part.format, part.value)
		}
	}
	return out
}
