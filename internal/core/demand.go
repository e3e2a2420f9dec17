package core

import (
	"math"
	"roadcleat/internal/model"
	"slices"
	"time"
)

// Demand is what a zone's work takes of its machines and what waits for room, by pool of
// machine types. The fleet is sized by the demand of the recent past and by how it grows.

// coresTaken is what an amount takes of a machine of the type, in the machine's cores: of its
// cores, cards and memory whatever it takes the largest share of. Where cards bind,
// machines without a card left counted as having a third or a sixth of their cores free.
// It is a multiple of 1/64, which add up to the same in any order.
func (c *Core) coresTaken(need model.Resources, typ int) float64 {
	t, share := c.types[typ].Capacity, 0.0
	for _, x := range [][2]float64{{need.Cores, t.Cores}, {need.GPUs, t.GPUs}, {need.MemoryGB, t.MemoryGB}} {
		if x[0] > 0 && x[1] > 0 {
			share = max(share, x[0]/x[1])
		}
	}
	return max(math.Round(share*t.Cores*64), 1) / 64
}

// demandSample is the demand at a moment, as load by pool of machine types.
type demandSample struct {
	at            time.Duration
	cores         []float64
	ordinaryCores []float64 // of it, by work that no spot machine may run
}

func (s demandSample) all() []float64      { return s.cores }
func (s demandSample) ordinary() []float64 { return s.ordinaryCores }

// shardDemand is what a zone's work takes or waits for, in cores by pool of machine types.
type shardDemand struct {
	pools        []uint64
	demand       []float64 // of all work but backfill
	ordinary     []float64 // of it, by work that no spot machine may run
	backfill     []float64 // by backfill that runs
	firmBackfill []float64 // of it, by what can't give way
}

// measureDemand sums up what the tasks on a part's machines take and what waits for room.
func (c *Core) measureDemand(shard *Shard) shardDemand {
	pools := c.pools()
	l := shardDemand{pools: pools, demand: make([]float64, len(pools)), ordinary: make([]float64, len(pools)),
		backfill: make([]float64, len(pools)), firmBackfill: make([]float64, len(pools))}
	for _, host := range shard.hostList() {
		if host.typeIndex < 0 {
			continue
		}
		for _, t := range host.tasks {
			c.addRunning(&l, host, t)
		}
	}
	for _, id := range sorted(shard.assignments) { // reads of quotas are asked for in this order
		c.addWaiting(shard, &l, shard.assignments[id])
	}
	return l
}

// addRunning adds a task that is on a machine.
func (c *Core) addRunning(l *shardDemand, host *Host, task *Task) {
	i, use, job := poolOf(l.pools, host.typeIndex), c.coresTaken(task.need, host.typeIndex), task.job()
	if job != nil && c.isBackfill(job) {
		l.backfill[i] += use
		if !c.preemptible(task) {
			l.firmBackfill[i] += use
		}
		return
	}
	l.demand[i] += use
	if job != nil && !job.spec.Spot {
		l.ordinary[i] += use
	}
}

// addWaiting adds the tasks of a slice that could start if there were room.
func (c *Core) addWaiting(shard *Shard, l *shardDemand, assignment *Assignment) {
	job := assignment.job
	if job.state != model.JobPending || job.team < 0 || len(assignment.waiting) == 0 || c.isBackfill(job) {
		return
	}
	typ := c.usualType(job)
	if typ < 0 {
		return
	}
	startable := min(c.startableTasks(assignment), c.teamRoom(shard, job.team, job.spec.Need))
	i, use := poolOf(l.pools, typ), float64(startable)*c.coresTaken(job.spec.Need, typ)
	l.demand[i] += use
	if !job.spec.Spot {
		l.ordinary[i] += use
	}
}

// remember keeps the demand as a sample, the larger of those within a second.
func (s *Shard) remember(l shardDemand, now, window time.Duration) {
	if len(s.demandSamples) == 0 {
		s.demandFrom = now
	}
	if k := len(s.demandSamples); k == 0 || now >= s.demandSamples[k-1].at+time.Second || len(s.demandSamples[k-1].cores) != len(l.demand) {
		s.demandSamples = append(s.demandSamples, demandSample{now, l.demand, l.ordinary})
	} else {
		for i := range l.demand {
			s.demandSamples[k-1].cores[i] = max(s.demandSamples[k-1].cores[i], l.demand[i])
			s.demandSamples[k-1].ordinaryCores[i] = max(s.demandSamples[k-1].ordinaryCores[i], l.ordinary[i])
		}
	}
	for len(s.demandSamples) > 0 && s.demandSamples[0].at < now-window {
		s.demandSamples = s.demandSamples[1:]
	}
}

// sizeFleet keeps the part's fleet near its demand: machines for waiting work at
// once, room for what the recent past suggests, idle ones back when neither
// needs them.
func (c *Core) sizeFleet(shard *Shard) {
	if len(c.types) == 0 || shard.claim.HandingOver() || !c.leaseConfirmed() {
		return
	}
	defer c.sendRentals(shard)
	for _, h := range shard.hosts {
		c.meterUsage(h)
	}
	c.updateGuarantees()
	l := c.measureDemand(shard)
	shard.remember(l, c.now, c.cfg.Tuning.DemandWindow)
	if c.now >= shard.nextLoadLogAt {
		shard.nextLoadLogAt = c.now + 15*time.Second
		c.logShardLoad(shard, l.demand)
	}
	coming := c.pendingHosts(shard)
	may := c.mayStartTasks() && c.storeReachable() && c.fleetKnown(shard)
	if c.noHeartbeats(shard) && !shard.hadNoHeartbeats {
		shard.hadNoHeartbeats = true
		c.warn("part is dark: none of its workers is heard here", "part", shard.name, "token", shard.claim.Token())
	}
	clear(shard.exports)
	if may {
		for _, n := range shard.unplaced {
			c.rentFor(shard, n, coming)
		}
	}
	shard.reserve, shard.backfillRoom = backfillReserve{l.pools, make([]float64, len(l.pools))}, nil
	for i := range l.pools {
		c.sizePool(shard, l, i, may)
	}
}

// sizePool keeps the machines of one pool near its demand; it hires only if it may.
func (c *Core) sizePool(shard *Shard, l shardDemand, i int, may bool) {
	types := l.pools[i]
	target, mean := c.capacityTarget(shard, demandSample.all, i, len(l.pools))
	grown := target
	if target > smallFleetCores {
		grown += c.demandGrowth(shard, demandSample.all, i, len(l.pools)) * c.longestUsualBoot(types)
	}
	ordinary, lastingly := c.capacityTarget(shard, demandSample.ordinary, i, len(l.pools))
	ordinary += c.demandGrowth(shard, demandSample.ordinary, i, len(l.pools)) * c.longestUsualBoot(types)
	if ours := c.ordinaryCapacity(shard, types); may && ours < ordinary && lastingly > 0 {
		// Cheap machines that stand ready are none to those who may not use them.
		c.rentOrdinary(shard, types, ordinary-ours)
	}
	shard.reserve.cores[i] = target
	if capacity := c.capacity(shard, types) - l.firmBackfill[i]; may && capacity < grown && mean > 0 {
		lasting := target - capacity
		if target > smallFleetCores {
			lasting = mean*1.05 - capacity
		}
		c.rentForDemand(shard, types, grown-capacity, target-capacity, lasting)
	}
	over := c.surplusOf(shard, types, grown+l.backfill[i], ordinary)
	c.returnIdleHosts(shard, types, &over)
	c.consolidate(shard, types, over)
}

// capacityTarget is what a pool should hold by the demand of late: its peak and a share of its
// mean, which it returns as well.
func (c *Core) capacityTarget(shard *Shard, of func(demandSample) []float64, pool, pools int) (target, mean float64) {
	peak := 0.0
	for _, s := range shard.demandSamples {
		if d := of(s); len(d) == pools { // not from before a class was met
			peak = max(peak, d[pool])
			mean += d[pool] / float64(len(shard.demandSamples))
		}
	}
	return peak + mean*c.cfg.Tuning.SpareShare*min(1, math.Sqrt(smallFleetCores/max(mean, 1))), mean
}

// growthQuarters is into how many parts the window of past demand is divided to tell
// growth that lasts from a single step.
const growthQuarters = 4

// demandGrowth is by how many cores a second demand has grown lately in a pool. The quarter of the window in which it grew most counts as
// the next one, so that a single large job foretells nothing. Work that comes while machines for the last of it still boot would wait for a
// boot as well, however steadily it comes. The first demand that an owner sees is
// a backlog and says nothing about what is yet to come.
func (c *Core) demandGrowth(shard *Shard, of func(demandSample) []float64, pool, pools int) float64 {
	window := c.cfg.Tuning.DemandWindow
	if len(shard.demandSamples) == 0 || c.now < shard.demandFrom+window*3/2 {
		return 0
	}
	from := shard.demandSamples[0].at
	quarter := (c.now - from) / growthQuarters
	at := func(t time.Duration) float64 {
		demand := 0.0
		for _, s := range shard.demandSamples {
			if d := of(s); s.at <= t && len(d) == pools {
				demand = d[pool]
			}
		}
		return demand
	}
	grown := make([]float64, growthQuarters)
	for q := range grown {
		grown[q] = at(from+quarter*time.Duration(q+1)) - at(from+quarter*time.Duration(q))
	}
	slices.Sort(grown)
	grown[growthQuarters-1] = grown[growthQuarters-2]
	sum := 0.0
	for _, g := range grown {
		sum += g
	}
	return max(sum, 0) / (seconds(quarter) * growthQuarters)
}

// longBootFactor is how much longer than stated a boot may usually take.
const longBootFactor = 1.5

// longestUsualBoot is how long the slowest of the types given may usually take to boot, in
// seconds.
func (c *Core) longestUsualBoot(types uint64) float64 {
	boot := 0.0
	for t := range c.types {
		if types&(1<<t) != 0 {
			boot = max(boot, longBootFactor*c.types[t].BootSeconds)
		}
	}
	return boot
}

// smallFleetCores is the demand up to which the whole spare share is kept and queues
// are not reckoned with. What comes by chance grows with the root of the demand
// only, so a larger fleet needs less in proportion and is easier to foresee.
const smallFleetCores = 200.0

// fleetKnown says whether a new owner knows the part's machines well enough to
// hire more. Those with tasks are in the slices; idle ones are known by the
// cloud's list, or when every worker has had time to report. Before that a
// change of owners had a second fleet hired beside the first.
func (c *Core) fleetKnown(p *Shard) bool {
	return p.hostsListed || p.startedEmpty || c.now > p.loadedAt+c.cfg.HeartbeatInterval*13/10
}

// pools groups the machine types that the same classes of jobs can use. Room
// on one type of a pool is as good as on another; room on another pool's may be
// none at all to the work that waits.
func (c *Core) pools() []uint64 {
	var pools, users []uint64
next:
	for t := range min(len(c.types), 64) {
		by := uint64(0)
		for class, k := range c.typesByClass {
			if class < 64 && k.types&(1<<t) != 0 && c.now < k.at+5*time.Minute {
				by |= 1 << class
			}
		}
		for i := range users {
			if users[i] == by {
				pools[i] |= 1 << t
				continue next
			}
		}
		pools, users = append(pools, 1<<t), append(users, by)
	}
	return pools
}

func poolOf(pools []uint64, typ int) int {
	for i, types := range pools {
		if types&(1<<typ) != 0 {
			return i
		}
	}
	return 0
}

// logShardLoad logs how the part's cores are used.
func (c *Core) logShardLoad(shard *Shard, demand []float64) {
	var boots, spot, all, run, wait float64
	for _, host := range shard.hosts {
		if host.typeIndex < 0 {
			continue
		}
		cores := c.types[host.typeIndex].Capacity.Cores
		if host.state == hostBooting {
			boots += cores
			continue
		}
		all += cores
		if host.spot {
			spot += cores
		}
		for _, task := range host.tasks {
			if task.state == TaskRunning {
				run += task.need.Cores
			} else {
				wait += task.need.Cores
			}
		}
	}
	c.info("part load", "part", shard.name, "token", shard.claim.Token(), "cores", all, "spot", spot, "booting", boots,
		"running", run, "fetching", wait, "demand", demand)
}

// capacity counts the cores of machines of the types given that work, boot or
// are being hired.
func (c *Core) capacity(p *Shard, types uint64) float64 {
	return c.ordinaryCapacity(p, types) + c.coresOf(p, types, true)
}

// ordinaryCapacity counts those that are no spot machines.
func (c *Core) ordinaryCapacity(p *Shard, types uint64) float64 { return c.coresOf(p, types, false) }

func (c *Core) coresOf(shard *Shard, types uint64, spot bool) float64 {
	sum := 0.0
	for _, host := range shard.hostList() {
		if host.typeIndex >= 0 && types&(1<<host.typeIndex) != 0 && host.spot == spot && host.reclaimedAt == 0 && !host.faulty && !host.leaseExpired && (host.state == hostUp || host.state == hostBooting) {
			sum += c.types[host.typeIndex].Capacity.Cores
		}
	}
	for _, rental := range shard.rentals {
		if types&(1<<rental.typeIndex) != 0 && rental.request.Spot == spot {
			sum += c.types[rental.typeIndex].Capacity.Cores * float64(rental.request.Count)
		}
	}
	return sum
}
