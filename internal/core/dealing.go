package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/plan"
	"roadcleat/internal/records"
)

// maxHostsPerGroup bounds how many machines of a kind a peer's word is believed for in a zone.
const maxHostsPerGroup = 50_000

// reportedDevices is another part's machines by its owner's last word.
func (c *Core) reportedDevices(shard *Shard) []device {
	if shard.devices != nil || shard.view == nil || c.now > shard.viewAt+10*time.Second {
		return shard.devices
	}
	now := seconds(shard.viewAt)
	nth := make([]float64, len(c.types)) // machines of a type so far
	for i := range shard.view.Hosts {
		v := &shard.view.Hosts[i]
		typ := c.typeIndex.lookup(v.Type)
		if typ < 0 {
			continue
		}
		for range min(v.Count, maxHostsPerGroup) {
			d := &plan.Device{Kind: c.kindIndex(shard.zone, typ, v.Spot), Total: c.types[typ].Capacity, Up: now + v.ReadyInSeconds,
				SPerGB: c.fetchRate(typ), Slow: 1, FetchAt: now + v.FetchingSeconds}
			if v.Used.Cores > 0 || v.Used.GPUs > 0 {
				d.Uses = append(make([]plan.Use, 0, 4), plan.Use{Start: 0, End: now + v.BusySeconds, Amount: v.Used})
			}
			if v.ReadyInSeconds == 0 {
				// Which machines hold an image is not told, only how many do: it
				// is dealt out evenly.
				nth[typ]++
				for _, s := range shard.view.Images {
					if s.Type == v.Type && math.Floor(nth[typ]*s.Share) > math.Floor((nth[typ]-1)*s.Share) {
						d.Images = append(d.Images, plan.Held{Image: c.images.indexOf(s.Image)})
					}
				}
			}
			shard.devices = append(shard.devices, device{d, shard.zone, nil})
		}
	}
	return shard.devices
}

// shardDevices is a part's machines: by own knowledge, or by its owner's word.
func (c *Core) shardDevices(shard *Shard) []device {
	if !shard.servedHere() {
		return c.reportedDevices(shard)
	}
	if shard.devices == nil || c.now > shard.devicesAt+500*time.Millisecond {
		shard.devices, shard.devicesAt = nil, c.now
		for _, host := range shard.hostList() {
			if host.countsForPlans(c.now) {
				shard.devices = append(shard.devices, c.hostDevice(host, true))
			}
		}
	}
	return shard.devices
}

// distribute splits a new job over the parts: each task to the part of its
// earliest-finish machine, as the job's limits on zones allow.
func (c *Core) distribute(spec *model.JobSpec) map[string]records.TaskRanges {
	job := &Job{id: spec.ID, spec: *spec, image: -1, class: c.classes.indexOf(spec.Class), team: c.teams.lookup(spec.Team)}
	if spec.Image != "" {
		job.image = c.imageIndex(spec)
	}
	step := c.planStep(job)
	plain, queues := step.Cost, make([]float64, len(c.shards)*len(c.types))
	for z, p := range c.shards {
		copy(queues[z*len(c.types):], c.queueSeconds(p, spec.Priority))
	}
	if c.isBackfill(job) {
		for z, shard := range c.shards {
			for t := range c.types {
				if c.backfillRoomOn(shard, t) < c.coresTaken(spec.Need, t) {
					queues[z*len(c.types)+t] += noBackfillRoomCost
				}
			}
		}
	}
	step.Cost = func(kind int) float64 { return plain(kind) + queues[kind/2] }
	byZone := make([][]device, len(c.shards))
	have := c.rentedMachines()
	for z, shard := range c.shards {
		if spec.Zone != "" && shard.name != spec.Zone || !c.zoneHolds(job, shard) {
			continue
		}
		byZone[z] = c.shardDevices(shard)
		byZone[z] = append(byZone[z][:len(byZone[z]):len(byZone[z])], c.rentableDevices(shard, job, queues[z*len(c.types):], have)...)
	}
	counts := make([]int, len(c.shards))
	now := seconds(c.now)
	if spec.OneZone || spec.Gang {
		// A gang is placed in one transaction of one owner, so it stays together.
		counts[c.bestZone(step, spec.Tasks, byZone, now)] = spec.Tasks
	} else {
		most := spec.Tasks
		if spec.SpreadZones {
			most = (spec.Tasks + 1) / 2
		}
		c.spreadOver(step, spec.Tasks, most, c.maxPlacedAtOnce(job), byZone, counts, now)
		if spec.Tasks <= singleShardTasks && !spec.SpreadZones {
			mergeIntoLargest(counts)
		}
	}
	limitShards(counts, c.cfg.MaxTxnOps-1)
	c.recordDistribution(job, counts)
	split := map[string]records.TaskRanges{}
	at := 0
	for z, n := range counts {
		if n > 0 {
			split[c.shards[z].name] = records.TaskRanges{{at, at + n}}
			at += n
		}
	}
	return split
}

// singleShardTasks is how many tasks a job may have to go to one part as a whole: each
// further part costs changes at the state service at its coming, and reads of
// all slices at its end. What finds no room there moves later.
const singleShardTasks = 40

// mergeIntoLargest gives all tasks to the part that has most of them.
func mergeIntoLargest(counts []int) {
	best, sum := 0, 0
	for z, n := range counts {
		if sum += n; n > counts[best] {
			best = z
		}
	}
	clear(counts)
	counts[best] = sum
}

// limitShards leaves tasks in at most so many parts: a job and its slices come into
// being in one transaction. The parts with the fewest tasks give them to those of
// the others that have the fewest, so that tasks that must be apart stay so.
func limitShards(counts []int, most int) {
	var used []int
	for z, n := range counts {
		if n > 0 {
			used = append(used, z)
		}
	}
	if len(used) <= most {
		return
	}
	slices.SortStableFunc(used, func(a, b int) int { return cmp.Compare(counts[b], counts[a]) })
	kept := used[:most]
	for _, z := range used[most:] {
		for ; counts[z] > 0; counts[z]-- {
			counts[slices.MinFunc(kept, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })]++
		}
	}
}

// zoneHolds says whether the zone has a machine type that the job allows.
func (c *Core) zoneHolds(job *Job, shard *Shard) bool {
	for t := range c.types {
		typ := &c.types[t]
		if slices.Contains(typ.Zones, shard.name) && job.spec.Need.FitsIn(typ.Capacity) &&
			c.allowedOn(job, c.kindIndex(shard.zone, t, false)) {
			return true
		}
	}
	return false
}

// sampledTasks is how many tasks of a large job are dealt one by one; the rest
// follows their proportions.
const sampledTasks = 64

func (c *Core) bestZone(step *plan.Step, n int, byZone [][]device, now float64) int {
	best, at := -1, 0.0
	for z, ds := range byZone {
		if len(ds) == 0 {
			continue
		}
		var devices []*plan.Device
		for _, d := range ds {
			devices = append(devices, d.Device)
		}
		sched := plan.Solve([]plan.Step{{Tasks: min(n, sampledTasks), Gang: step.Gang, Need: step.Need, Comp: step.Comp, Image: step.Image,
			ImageGB: step.ImageGB, Allowed: step.Allowed}}, devices, now, c.cfg.Tuning.Frontier)
		if sched.Complete && (best < 0 || sched.Finish < at) {
			best, at = z, sched.Finish
		}
	}
	if best < 0 {
		best = max(c.zones.lookup(c.cfg.Zone), 0)
		for z, ds := range byZone {
			if len(ds) > 0 {
				best = z
			}
		}
	}
	return best
}

func (c *Core) spreadOver(step *plan.Step, n, most, at int, byZone [][]device, counts []int, now float64) {
	open := make([]bool, len(byZone))
	for z := range byZone {
		open[z] = len(byZone[z]) > 0
	}
	left, sample := n, min(n, sampledTasks)
	for sample > 0 {
		var devices []*plan.Device
		var zones []int
		for z, ds := range byZone {
			if !open[z] {
				continue
			}
			for _, d := range ds {
				devices, zones = append(devices, d.Device), append(zones, z)
			}
		}
		got := plan.Spread(step, sample, devices, now, func(pl plan.Placement) bool {
			z := zones[pl.Device]
			counts[z]++
			open[z] = counts[z] < most
			return open[z]
		})
		if got == 0 {
			break
		}
		sample -= got
		left -= got
	}
	// The rest of a large job in the same proportions, within the limit, as long as a
	// part can have that many placed at a time; what is beyond it would only wait there
	// and goes to all parts.
	distributed := n - left
	for z := range counts {
		if distributed > 0 && left > 0 && counts[z] > 0 {
			more := min(left, (n-distributed)*counts[z]/distributed, most-counts[z], max(at-counts[z], 0))
			counts[z] += more
			left -= more
		}
	}
	usable := 0
	for z := range counts {
		if len(byZone[z]) > 0 {
			usable++
		}
	}
	even := left / max(usable, 1)
	for z := range counts {
		if len(byZone[z]) > 0 && left > 0 {
			more := min(even, most-counts[z])
			counts[z] += more
			left -= more
		}
	}
	for z := range counts {
		if len(byZone[z]) > 0 || distributed == 0 {
			more := min(left, most-counts[z])
			counts[z] += more
			left -= more
		}
	}
	for z := range counts {
		more := min(left, most-counts[z])
		counts[z] += more
		left -= more
	}
}
