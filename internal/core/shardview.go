package core

import (
	"math"
	"time"

	"roadcleat/internal/model"
)

// shardView sums up a shard owned here for the other controllers.
func (c *Core) shardView(shard *Shard) ShardView {
	view := ShardView{
		Zone:         shard.name,
		Token:        shard.claim.Token(),
		NoHeartbeats: c.noHeartbeats(shard),
		TeamUsage:    map[string]model.Resources{},
		BackfillRoom: map[string]float64{},
	}
	view.Hosts, view.Images = c.hostGroups(shard)
	view.Backlog = c.computeBacklog(shard)
	for t := range c.types {
		if room := c.backfillRoomOn(shard, t); room > 0 {
			view.BackfillRoom[c.types[t].Name] = math.Floor(room)
		}
		for _, spot := range []bool{false, true} {
			if kind := (MachineKind{c.types[t].Name, spot}); c.now < shard.exhaustedUntil[kind] {
				view.Exhausted = append(view.Exhausted, kind)
			}
		}
	}
	first := c.nextHostsUp(shard)
	for _, id := range sorted(shard.assignments) {
		if assignment := shard.assignments[id]; assignment.job.state == model.JobPending {
			view.Jobs = append(view.Jobs, c.countsForGossip(shard, assignment, first))
		}
	}
	view.Queues = c.shardQueues(shard, first)
	for t, used := range shard.teamUsage {
		if used.Cores > 0 || used.GPUs > 0 {
			view.TeamUsage[c.teamConfigs[t].Name] = used
		}
	}
	return view
}

// countsForGossip counts an assignment's tasks. Only of services with replicas missing, which
// are few, it also says what has become of those and why, so that gossip stays small.
func (c *Core) countsForGossip(shard *Shard, assignment *Assignment, first map[int]*Host) JobCounts {
	tasks := assignment.counts()
	c.trackMissing(assignment, tasks)
	counts := JobCounts{ID: assignment.job.id, Done: assignment.done.Count(), Running: tasks.Running}
	if !assignment.job.spec.Service || tasks.missing() == 0 {
		return counts
	}
	counts.Starting, counts.Fetching, counts.Waiting = tasks.Starting, tasks.Fetching, tasks.Waiting
	counts.MissingSeconds = math.Round(c.missingSeconds(assignment))
	counts.Reason, _ = c.whyMissing(shard, assignment, tasks, first)
	return counts
}

// hostGroups sums a shard's machines up in groups that look alike, and the share of each
// type's machines that hold an image.
func (c *Core) hostGroups(shard *Shard) ([]HostGroup, []ImageShare) {
	var groups []HostGroup
	position := map[HostGroup]int{}
	holders := make(map[[2]int]int) // by image and type
	upOfType := make([]int, len(c.types))
	for _, host := range shard.hostList() {
		if !host.countsForPlans(c.now) {
			continue
		}
		if host.state != hostBooting {
			upOfType[host.typeIndex]++
		}
		for image := range host.images {
			holders[[2]int{image, host.typeIndex}]++
		}
		group := c.groupOf(host)
		k, known := position[group]
		if !known {
			k = len(groups)
			position[group] = k
			groups = append(groups, group)
		}
		groups[k].Count++
	}
	var images []ImageShare
	for image, name := range c.images.names {
		for t, up := range upOfType {
			if n := holders[[2]int{image, t}]; n > 0 && up > 0 {
				images = append(images, ImageShare{name, c.types[t].Name, min(float64(n)/float64(up), 1)})
			}
		}
	}
	return groups, images
}

// groupOf is the group of a machine, without a count. One use stands for all: it ends when
// their mean does, by load. Whole milliseconds add up to the same in any order.
func (c *Core) groupOf(host *Host) HostGroup {
	group := HostGroup{
		Type:            c.types[host.typeIndex].Name,
		Spot:            host.spot,
		FetchingSeconds: roundToPowerOfTwo(seconds(host.fetchesDoneAt - c.now)),
	}
	if host.state == hostBooting {
		group.ReadyInSeconds = roundToPowerOfTwo(seconds(max(host.expectedUpAt-c.now, time.Second)))
	}
	busyMillis, uses := 0.0, 0.0
	for _, task := range host.tasks {
		if c.preemptible(task) {
			continue // it makes room for what is sent here
		}
		group.Used = group.Used.Plus(task.need)
		use := c.coresTaken(task.need, host.typeIndex)
		busyMillis += float64((c.expectedEnd(task)-c.now)/time.Millisecond) * use
		uses += use
	}
	if uses > 0 {
		group.BusySeconds = roundToPowerOfTwo(busyMillis / 1000 / uses)
	}
	return group
}

// Seconds below which a time counts as none, and to which others are rounded up.
const (
	noTime    = 0.1
	leastTime = 0.5
)

// roundToPowerOfTwo rounds a time in seconds to a power of two, so that machines fall into
// few groups.
func roundToPowerOfTwo(s float64) float64 {
	if s <= noTime {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(max(s, leastTime))))
}
