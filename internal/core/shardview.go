package core

import (
	"math"
	"time"

	"roadcleat/internal/model"
)

// shardView returns the summary of a shard owned by this controller for its peers.
func (c *Core) shardView(shard *Shard) ShardView {
	view := ShardView{
		Zone:          shard.name,
		Token:         shard.claim.Token(),
		NoHeartbeats:  c.receivesNoHeartbeats(shard),
		TeamUsage:     map[string]model.Resources{},
		BackfillCores: map[string]float64{},
	}
	view.Hosts, view.Images = c.hostGroups(shard)
	view.Backlog = c.computeBacklog(shard)
	for t := range c.machineTypes {
		if cores := c.backfillCapacityOn(shard, t); cores > 0 {
			view.BackfillCores[c.machineTypes[t].Name] = math.Floor(cores)
		}
		for _, spot := range []bool{false, true} {
			if kind := (MachineKind{c.machineTypes[t].Name, spot}); c.now < shard.outOfCapacityUntil[kind] {
				view.OutOfCapacityKinds = append(view.OutOfCapacityKinds, kind)
			}
		}
	}
	firstUp := c.nextHostsUp(shard)
	for _, id := range sortedKeys(shard.assignments) {
		if assignment := shard.assignments[id]; assignment.job.state == model.JobPending {
			view.Jobs = append(view.Jobs, c.countsForGossip(shard, assignment, firstUp))
		}
	}
	view.Queues = c.shardQueues(shard, firstUp)
	for t, used := range shard.teamUsage {
		if used.Cores > 0 || used.GPUs > 0 {
			view.TeamUsage[c.teamConfigs[t].Name] = used
		}
	}
	return view
}

// countsForGossip returns the counts of an assignment's tasks. To keep gossip small, the state
// of missing replicas and the reason are included only for services with missing replicas,
// which are few.
func (c *Core) countsForGossip(shard *Shard, assignment *Assignment, firstUp map[int]*Host) JobCounts {
	tasks := assignment.counts()
	c.updateMissingSince(assignment, tasks)
	counts := JobCounts{ID: assignment.job.id, Done: assignment.done.Count(), Running: tasks.Running}
	if !assignment.job.spec.Service || tasks.missing() == 0 {
		return counts
	}
	counts.Starting, counts.Fetching, counts.Waiting = tasks.Starting, tasks.Fetching, tasks.Waiting
	counts.MissingSeconds = math.Round(c.missingSeconds(assignment))
	counts.Reason, _ = c.reasonNotRunning(shard, assignment, tasks, firstUp)
	return counts
}

// hostGroups returns the shard's hosts in groups of similar hosts, and for each machine type
// the share of its hosts that hold an image.
func (c *Core) hostGroups(shard *Shard) ([]HostGroup, []ImageShare) {
	var groups []HostGroup
	groupIndex := map[HostGroup]int{}
	imageHolders := make(map[[2]int]int) // by image and machine type
	upHostsByType := make([]int, len(c.machineTypes))
	for _, host := range shard.sortedHosts() {
		if !host.isPlannable(c.now) {
			continue
		}
		if host.state != hostBooting {
			upHostsByType[host.typeIndex]++
		}
		for image := range host.imageLastUsedAt {
			imageHolders[[2]int{image, host.typeIndex}]++
		}
		group := c.hostGroupOf(host)
		k, exists := groupIndex[group]
		if !exists {
			k = len(groups)
			groupIndex[group] = k
			groups = append(groups, group)
		}
		groups[k].Count++
	}
	var images []ImageShare
	for image, name := range c.images.names {
		for t, up := range upHostsByType {
			if n := imageHolders[[2]int{image, t}]; n > 0 && up > 0 {
				images = append(images, ImageShare{name, c.machineTypes[t].Name, min(float64(n)/float64(up), 1)})
			}
		}
	}
	return groups, images
}

// hostGroupOf returns the group of a host, with a zero count. The tasks on the host are
// combined into one use that ends after their mean remaining time, weighted by the cores they
// take. Remaining times are summed in whole milliseconds, so that the sum does not depend on
// the order of the tasks.
func (c *Core) hostGroupOf(host *Host) HostGroup {
	group := HostGroup{
		Type:            c.machineTypes[host.typeIndex].Name,
		Spot:            host.spot,
		FetchingSeconds: roundToPowerOfTwo(toSeconds(host.fetchQueueEmptyAt - c.now)),
	}
	if host.state == hostBooting {
		group.ReadyInSeconds = roundToPowerOfTwo(toSeconds(max(host.expectedUpAt-c.now, time.Second)))
	}
	weightedMillis, totalCores := 0.0, 0.0
	for _, task := range host.tasks {
		if c.isPreemptible(task) {
			continue // it is preempted if other work is sent here
		}
		group.Used = group.Used.Plus(task.resources)
		cores := c.equivalentCores(task.resources, host.typeIndex)
		weightedMillis += float64((c.expectedExitAt(task)-c.now)/time.Millisecond) * cores
		totalCores += cores
	}
	if totalCores > 0 {
		group.BusySeconds = roundToPowerOfTwo(weightedMillis / 1000 / totalCores)
	}
	return group
}

// Bounds of rounded times: a time up to negligibleSeconds counts as 0, and any other time is
// raised to minRoundedSeconds at least.
const (
	negligibleSeconds = 0.1
	minRoundedSeconds = 0.5
)

// roundToPowerOfTwo rounds a time in seconds to a power of two, so that hosts fall into few
// groups.
func roundToPowerOfTwo(s float64) float64 {
	if s <= negligibleSeconds {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(max(s, minRoundedSeconds))))
}
