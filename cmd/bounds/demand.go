package main

import (
	"math"
	"sort"
)

// meanSampleStepSeconds is the interval at which meanRunningTasks samples the number of
// running tasks.
const meanSampleStepSeconds = 2

// meanDemandCores returns the mean number of cores that run tasks, in total and by job
// class. Image fetches are not included. For job arrays it is the steady-state mean, which
// ignores that the day ends. Services keep running and accumulate, so for them it is the
// mean over the day.
func (s *site) meanDemandCores() (total float64, byClass map[string]float64) {
	byClass = map[string]float64{}
	for i := range s.Classes {
		class := &s.Classes[i]
		cores := class.Arrivals.JobsPerSecond * class.TaskCount.mean() * class.RunSeconds.mean() * class.Cores
		if class.isService() {
			cores = s.meanRunningTasks(class) * class.Cores
		}
		byClass[class.Name] = cores
		total += cores
	}
	return total, byClass
}

// runningTasks returns the expected number of tasks of a class that run at a time, in
// seconds since the start of the day, if each task starts as soon as its job is submitted.
// For a service this is the number of wanted replicas.
func (s *site) runningTasks(class *jobClass, at float64) float64 {
	initialTasks, laterTasks := s.runningTasksByArrival(class, at, 0)
	return initialTasks + laterTasks
}

// meanRunningTasks returns the mean of runningTasks over the day.
func (s *site) meanRunningTasks(class *jobClass) float64 {
	sum, n := 0.0, 0.0
	for at := 1.0; at < s.DurationSeconds; at += meanSampleStepSeconds {
		sum += s.runningTasks(class, at)
		n++
	}
	return sum / math.Max(n, 1)
}

// runningTasksByArrival returns the expected number of tasks of a class that run at a time,
// in seconds since the start of the day. It counts the tasks of jobs that exist at the start
// of the day and of jobs submitted later separately. Tasks whose job was submitted less than
// minAgeSeconds ago are left out. The tasks of later jobs are summed by age in steps of 1 s, at the
// middle of each step.
func (s *site) runningTasksByArrival(class *jobClass, at, minAgeSeconds float64) (initialTasks, laterTasks float64) {
	tasks := class.TaskCount.mean()
	if at >= minAgeSeconds {
		initialTasks = tasks * class.InitialJobs * class.RunSeconds.probabilityAbove(at)
	}
	for age := minAgeSeconds + 0.5; age < at; age++ {
		laterTasks += tasks * class.Arrivals.JobsPerSecond * class.RunSeconds.probabilityAbove(age)
	}
	return initialTasks, laterTasks
}

// coreOffer is a number of cores that the cloud rents out at one price per core and hour.
type coreOffer struct{ pricePerCoreHour, cores float64 }

// coreOffers returns the rentable cores of all machine types, spot and on demand, in
// ascending order of price.
func (s *site) coreOffers() []coreOffer {
	var out []coreOffer
	for _, machine := range s.MachineTypes {
		var spot, onDemand float64
		for _, capacity := range s.Capacity {
			if capacity.Type == machine.Name {
				spot += capacity.SpotMachines * machine.Cores
				onDemand += capacity.OnDemandMachines * machine.Cores
			}
		}
		out = append(out,
			coreOffer{machine.SpotPrice / machine.Cores, spot},
			coreOffer{machine.OnDemandPrice / machine.Cores, onDemand})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].pricePerCoreHour < out[b].pricePerCoreHour })
	return out
}

// priceBound returns a lower bound on the price ratio: the minimum cost of the mean demand,
// divided by its cost if every core had the price of the cheapest one. It assumes that the
// cheapest cores are rented first and that no rented core is idle or booting.
func (s *site) priceBound() float64 {
	demandCores, _ := s.meanDemandCores()
	remainingCores, cost := demandCores, 0.0
	offers := s.coreOffers()
	for _, offer := range offers {
		usedCores := math.Min(remainingCores, offer.cores)
		cost += usedCores * offer.pricePerCoreHour
		remainingCores -= usedCores
	}
	return cost / (demandCores * offers[0].pricePerCoreHour)
}

// usefulCostBound returns an upper bound on the share of the cost that pays for running
// tasks. It assumes that each core of the mean demand boots once a day, in the mean boot time
// of the machine types, and that each image of each class is fetched once a day, at the
// highest fetch rate of any machine type, on the cores of one task.
func (s *site) usefulCostBound() float64 {
	demandCores, _ := s.meanDemandCores()
	meanBootSeconds, maxFetchRate := 0.0, 0.0
	for _, machine := range s.MachineTypes {
		meanBootSeconds += machine.BootSeconds / float64(len(s.MachineTypes))
		maxFetchRate = math.Max(maxFetchRate, machine.FetchGBPerSecond)
	}
	wastedCoreSeconds := meanBootSeconds * demandCores
	for _, class := range s.Classes {
		wastedCoreSeconds += class.Images.Count * class.Images.SizeGB.mean() / maxFetchRate * class.Cores
	}
	usefulCoreSeconds := demandCores * s.DurationSeconds
	return usefulCoreSeconds / (usefulCoreSeconds + wastedCoreSeconds)
}

// submissionBound returns an upper bound on the share of submissions that are accepted within
// their time limit on a day. Accepting a job takes a write to the state service, so no job is accepted
// during an outage of the state service.
func (s *site) submissionBound(d day) float64 {
	downSeconds := 0.0
	for _, fault := range d.Faults {
		if fault.Kind == "state_outage" {
			downSeconds += fault.DurationSeconds
		}
	}
	return 1 - downSeconds/s.DurationSeconds
}
