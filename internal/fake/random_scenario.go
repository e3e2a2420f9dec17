package fake

import (
	"fmt"
	"math"
	"math/rand/v2"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const (
	// noiseSeconds is for how long jobs are submitted and faults are injected in a random scenario.
	noiseSeconds = 240
	// scenarioRandStream is the stream number of the random generator that draws scenarios. It
	// differs from the stream of simulations, so that the two are independent for the same seed.
	scenarioRandStream = 2
	// Submissions start at firstJobSeconds and are 1 to maxJobGapSeconds apart; the same applies to
	// faults.
	firstJobSeconds, maxJobGapSeconds     = 1.0, 10
	firstFaultSeconds, maxFaultGapSeconds = 20.0, 26
	// maxMachineNumber and maxOccurrence are the highest machine number and occurrence of a step
	// that a fault can have.
	maxMachineNumber, maxOccurrence = 50, 30
)

// scenarioGenerator draws scenarios. The order of the draws determines which scenario a seed gives,
// so it never changes.
type scenarioGenerator struct{ *rand.Rand }

// oneIn returns true with a probability of 1/n.
func (d scenarioGenerator) oneIn(n int) bool { return d.IntN(n) == 0 }

// between draws a number from lo to hi, rounded to a thousandth to keep the JSON of scenarios
// short.
func (d scenarioGenerator) between(lo, hi float64) float64 {
	return math.Round((lo+(hi-lo)*d.Float64())*1000) / 1000
}

// RandomScenario returns a scenario of random jobs and overlapping faults in a random cluster. It
// depends on the seed only.
func RandomScenario(seed uint64) Scenario {
	d := scenarioGenerator{rand.New(rand.NewPCG(seed, scenarioRandStream))}
	s := Scenario{Seed: seed}
	hasGPUs := d.oneIn(4)
	s.Cluster = d.clusterConfig(hasGPUs)
	for at := firstJobSeconds; at < noiseSeconds; at += d.between(1, maxJobGapSeconds) {
		id := fmt.Sprintf("job-%d", len(s.Jobs)+1)
		s.Jobs = append(s.Jobs, d.job(s.Cluster, id, at, hasGPUs))
	}
	controllers := len(s.Cluster.zonesOfControllers())
	for at := firstFaultSeconds; at < noiseSeconds; at += d.between(1, maxFaultGapSeconds) {
		s.Faults = append(s.Faults, d.fault(at, controllers))
	}
	d.failures(s.Jobs)
	if d.oneIn(2) {
		d.restartsDuringJobStreams(&s, controllers)
	}
	return s
}

// Numbers of restartsDuringJobStreams. Each restart is in a window of its own.
const (
	streamWindowSeconds                            = 30.0
	restartsDuringNoise                            = 7 // as many windows as fit into the noise
	streamJobsPerSecond                            = 8
	streamLeadSeconds, streamSeconds               = 0.5, 5.0 // from the lead before the restart on
	minIsolatedSeconds, maxIsolatedSeconds         = 2, 20
	minSlowAnswersSeconds, maxSlowAnswersSeconds   = 5, 30
	minStreamJobRunSeconds, maxStreamJobRunSeconds = 1, 4
)

// restartsDuringJobStreams adds restarts of controllers that miss the messages of the others, while
// users submit a stream of one-task jobs and keep their connections. A quarter of these jobs are
// cancelled. In half of the cases the state service also answers the other controllers late. The
// restarts go on after all other faults, once for each controller: a later fault could hide what a
// restarted controller has missed.
func (d scenarioGenerator) restartsDuringJobStreams(s *Scenario, controllers int) {
	s.Cluster.KeepConnections = true
	var nodes []int
	for range restartsDuringNoise {
		nodes = append(nodes, d.IntN(controllers))
	}
	for i, node := range append(nodes, d.Perm(controllers)...) {
		at := firstFaultSeconds + float64(i)*streamWindowSeconds + d.between(0, streamWindowSeconds-streamSeconds)
		s.Faults = append(s.Faults, InjectedFault{
			AtSeconds: at, FaultName: "restart-isolated", DurationSeconds: d.between(minIsolatedSeconds, maxIsolatedSeconds),
			NodeName: fmt.Sprintf("node-%d", node),
		})
		if d.oneIn(2) {
			s.Faults = append(s.Faults, InjectedFault{
				AtSeconds: at, FaultName: "slow-answers", DurationSeconds: d.between(minSlowAnswersSeconds, maxSlowAnswersSeconds),
			})
		}
		d.jobStream(s, at-streamLeadSeconds, s.Cluster.zonesOfControllers()[node])
	}
}

// jobStream adds a stream of one-task jobs. Two of three are bound to the given zone.
func (d scenarioGenerator) jobStream(s *Scenario, from float64, zone string) {
	for i := range int(streamSeconds * streamJobsPerSecond) {
		submitted := SubmittedJob{
			SubmitAtSeconds: from + float64(i)/streamJobsPerSecond, ID: fmt.Sprintf("job-%d", len(s.Jobs)+1),
			RunSeconds: d.between(minStreamJobRunSeconds, maxStreamJobRunSeconds),
		}
		submitted.Spec = model.JobSpec{
			Class: "work", Team: s.Cluster.Teams[d.IntN(2)].Name, Priority: d.IntN(4), Tasks: 1, Spot: true,
			TaskResources: model.Resources{Cores: 1, MemoryGB: 1}, Image: "x", ImageGB: 0.5,
			EstimatedRunSeconds: maxStreamJobRunSeconds,
		}
		if !d.oneIn(3) {
			submitted.Spec.Zone = zone
		}
		if d.oneIn(4) {
			submitted.CancelAfterSeconds = d.between(0.001, 10)
		}
		s.Jobs = append(s.Jobs, submitted)
	}
}

// failures draws the jobs whose first attempt fails.
func (d scenarioGenerator) failures(jobs []SubmittedJob) {
	for i := range jobs {
		spec := &jobs[i].Spec
		jobs[i].FailsFirstAttempt = d.oneIn(6) && !spec.Service && !spec.Gang
	}
}

// clusterConfig draws a cluster. Its unusual properties are drawn independently, so they can occur
// together.
func (d scenarioGenerator) clusterConfig(hasGPUs bool) ClusterConfig {
	s := ClusterConfig{
		NoiseSeconds: noiseSeconds, LostReplyShare: 1.0 / 60, LateRentalShare: 1.0 / 15,
		FailedBootShare: 1.0 / 12, BootSecondsRange: [2]float64{1, 25},
	}
	d.controllers(&s)
	d.teams(&s)
	if d.oneIn(4) {
		s.MaxValueBytes = 4 << 10
	}
	if d.oneIn(3) { // a controller that was down or cut off for a while must list all keys again
		s.WatchHistoryLimit = 20
	}
	if d.oneIn(2) {
		s.HeartbeatCopyShare, s.RepeatedRequestShare = 0.1, 0.05
	}
	if d.oneIn(6) { // machines boot within seconds while the state service is slow and loses replies
		s.BootSecondsRange, s.TransactionSeconds, s.LostReplyShare = [2]float64{1, 2}, d.between(0.2, 1.2), 0.1
	}
	if hasGPUs {
		s.MachineTypes = append(s.MachineTypes, model.MachineType{
			Name: "carded", Capacity: model.Resources{Cores: 16, GPUs: 4, MemoryGB: 64}, CacheGB: 40,
			FetchGBPerSecond: 0.5, PricePerHour: 3, SpotPricePerHour: 1, BootSeconds: 10,
		})
		s.Teams[0].Limit.GPUs, s.Teams[1].Limit.GPUs = 8, 3
		s.Teams[0].Guarantee.GPUs = 2
	}
	if smallCaches := d.oneIn(6); smallCaches || hasGPUs {
		s.MachineTypes = append(s.MachineTypes, defaultMachineTypes(smallCaches)...)
	}
	return s
}

// controllers draws the zones and the controllers in them.
func (d scenarioGenerator) controllers(s *ClusterConfig) {
	switch d.IntN(10) {
	case 0: // some zones have no controller, and one has two
		s.Zones = []string{"a", "b", "c", "d", "e", "f", "g"}
		s.Controllers = []string{"a", "b", "b"}
	case 1: // all controllers in one zone
		s.Controllers = []string{"b", "b", "b"}
	case 2:
		s.Controllers = []string{"a", "c"}
	}
}

// teams draws the teams.
func (d scenarioGenerator) teams(s *ClusterConfig) {
	s.Teams = DefaultConfig().Teams
	if d.oneIn(8) { // limits so low that the teams reach them
		s.Teams[0].Limit, s.Teams[1].Limit = model.Resources{Cores: 12}, model.Resources{Cores: 8}
		s.Teams[0].Guarantee, s.Teams[1].Guarantee = model.Resources{Cores: 6}, model.Resources{Cores: 4}
	}
	if d.oneIn(4) { // a team that has neither a guarantee nor a limit
		s.Teams = append(s.Teams, core.Team{Name: "guest"})
	}
}

// defaultMachineTypes returns the cloud's default machine types. With smallCaches, their image
// caches hold only one or two images.
func defaultMachineTypes(smallCaches bool) []model.MachineType {
	small := model.MachineType{
		Name: "small", Capacity: model.Resources{Cores: 4, MemoryGB: 16}, CacheGB: 40,
		FetchGBPerSecond: 0.5, PricePerHour: 0.4, SpotPricePerHour: 0.15, BootSeconds: 8,
	}
	large := model.MachineType{
		Name: "large", Capacity: model.Resources{Cores: 16, MemoryGB: 64}, CacheGB: 40,
		FetchGBPerSecond: 0.5, PricePerHour: 1.2, SpotPricePerHour: 0.4, BootSeconds: 10,
	}
	if smallCaches {
		small.CacheGB, large.CacheGB = 2, 2
	}
	return []model.MachineType{small, large}
}

// job draws a job for a cluster.
func (d scenarioGenerator) job(cluster ClusterConfig, id string, at float64, hasGPUs bool) SubmittedJob {
	team := cluster.Teams[d.IntN(2)]
	s := model.JobSpec{
		Class:               "work",
		Team:                team.Name,
		Priority:            d.IntN(4),
		Tasks:               1 + d.IntN(6),
		Spot:                !d.oneIn(3),
		TaskResources:       model.Resources{Cores: float64(1 + d.IntN(4)), MemoryGB: 1},
		Image:               []string{"x", "y", "z"}[d.IntN(3)],
		ImageGB:             0.5,
		EstimatedRunSeconds: float64(2 + d.IntN(30)),
	}
	submitted := SubmittedJob{SubmitAtSeconds: at, ID: id, RunSeconds: d.between(2, 32)}
	d.constraints(&s, cluster.coreConfig().Zones)
	if hasGPUs && d.oneIn(3) {
		s.TaskResources.GPUs, s.Class, s.Types = 1, "cards", nil
		s.Tasks = min(s.Tasks, 6)
		s.ImageGB = 1.5
	}
	hasGuestTeam := len(cluster.Teams) > 2
	if hasGuestTeam && d.oneIn(3) && !s.Service {
		s.Team, s.Class = "guest", "visit"
	}
	if d.oneIn(6) && !s.Service { // the job's tasks save checkpoints
		s.Priority, s.CheckpointIntervalSeconds, s.SaveSeconds = 3, 5, float64(d.IntN(3))
		submitted.RunSeconds *= 2
	}
	if d.oneIn(12) && !s.Gang && !s.Service && s.Tasks < 7 {
		s.Tasks *= 5
	}
	d.cancellation(&submitted, s.Service, hasGuestTeam)
	submitted.Spec = s
	return submitted
}

// constraints draws a job's placement constraints, its form (gang or service) and unusual numbers
// of tasks.
func (d scenarioGenerator) constraints(s *model.JobSpec, zones []string) {
	switch d.IntN(12) {
	case 0:
		s.OneZone = true
	case 1:
		s.SpreadZones = true
	case 2:
		s.Zone = zones[d.IntN(len(zones))]
	case 3:
		s.Types = []string{"large"}
	case 4:
		s.Gang, s.Tasks = true, 1+d.IntN(3)
	case 5: // more small tasks than one value of the state service can list
		s.Tasks, s.TaskResources.Cores = 60+d.IntN(60), 0.25
	case 6:
		s.Service, s.EstimatedRunSeconds, s.Tasks, s.TaskResources.Cores = true, 0, 1+d.IntN(3), 1
		s.SpreadZones = d.oneIn(3)
	}
}

// cancellation draws whether all of a job's tasks fail, and when the job is cancelled.
func (d scenarioGenerator) cancellation(submitted *SubmittedJob, service, hasGuestTeam bool) {
	switch {
	case hasGuestTeam && d.oneIn(8) && !service:
		submitted.FailsEveryTask, submitted.CancelAfterSeconds = true, d.between(1, 120)
	case d.oneIn(5), service && d.oneIn(2):
		submitted.CancelAfterSeconds = d.between(0.001, 40)
		if service {
			submitted.CancelAfterSeconds = d.between(20, 160)
		}
	}
}

// fault draws a fault. Most are injected at a time, a quarter at a step event.
func (d scenarioGenerator) fault(at float64, controllers int) InjectedFault {
	fault := d.weightedFault()
	f := InjectedFault{
		AtSeconds: at, FaultName: fault.Name,
		DurationSeconds: d.between(fault.MinDuration.Seconds(), fault.MaxDuration.Seconds()),
	}
	f.NodeName = fmt.Sprintf("node-%d", d.IntN(controllers))
	f.MachineNumber = 1 + d.IntN(maxMachineNumber)
	if d.oneIn(4) {
		f.AtSeconds = 0
		f.Step = Steps[d.IntN(len(Steps))]
		f.Phase = Phases[d.IntN(len(Phases))]
		f.Occurrence = 1 + d.IntN(maxOccurrence)
		f.MachineNumber = 0
		if !d.oneIn(4) {
			f.NodeName = ""
		}
	}
	return f
}

// weightedFault draws one of Faults by weight.
func (d scenarioGenerator) weightedFault() Fault {
	sum := 0
	for _, f := range Faults {
		sum += f.Weight
	}
	pick := d.IntN(sum)
	for _, f := range Faults {
		if pick < f.Weight {
			return f
		}
		pick -= f.Weight
	}
	panic("fake: no fault drawn although the draw is below the sum of the weights")
}
