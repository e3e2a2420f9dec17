package core

import (
	"math"
	"time"

	"roadcleat/internal/plan"
)

const (
	// joiningSeconds is in how many seconds a machine whose worker is joining can take tasks.
	joiningSeconds = 0.5
	// minBootSeconds is in how many seconds a booting machine is up at the earliest, however
	// long that has been overdue.
	minBootSeconds = 1.0
	// minFetchSeconds is the same for an image that is being fetched.
	minFetchSeconds = 0.2

	// ownDevicesFor is how long the devices made of a shard's own state are used.
	ownDevicesFor = 500 * time.Millisecond
	// viewUsableFor is how old the view of another controller's shard may be for its
	// machines to be planned with.
	viewUsableFor = 10 * time.Second
	// maxHostsPerGroup bounds how many machines of a group a peer's gossip is believed for.
	maxHostsPerGroup = 50_000
)

// device is a machine as the planner sees it, and the zone it is in.
type device struct {
	*plan.Device
	zone int
	host *Host // nil: another controller's, or yet to be rented
}

// planDevices strips devices of what only the core needs.
func planDevices(devices []device) []*plan.Device {
	out := make([]*plan.Device, len(devices))
	for i := range devices {
		out[i] = devices[i].Device
	}
	return out
}

// hostDevice is a machine of a shard owned here, with or without the room of tasks that may
// be preempted.
func (c *Core) hostDevice(host *Host, withoutPreemptible bool) device {
	typ := &c.types[host.typeIndex]
	now := seconds(c.now)
	d := &plan.Device{
		Kind:          c.kindIndex(host.shard.zone, host.typeIndex, host.spot),
		Total:         typ.Capacity,
		UpAt:          now,
		SecondsPerGB:  c.fetchRate(host.typeIndex),
		Slowdown:      1,
		FetchesDoneAt: seconds(host.fetchesDoneAt),
		Images:        hostImages(host, now),
		Uses:          make([]plan.Use, 0, len(host.tasks)+4),
	}
	if host.state == hostBooting {
		d.UpAt = max(seconds(host.expectedUpAt), now+minBootSeconds)
	} else if host.isJoining(c.now) {
		d.UpAt = now + joiningSeconds
	}
	if len(host.tasks) == 0 {
		d.Penalty = emptyHostCost // work that shares machines lets others be returned
	}
	for _, task := range host.tasks {
		if withoutPreemptible && c.preemptible(task) {
			continue
		}
		d.Uses = append(d.Uses, plan.Use{Start: 0, End: seconds(c.expectedEnd(task)), Amount: task.need})
	}
	return device{d, host.shard.zone, host}
}

// hostImages are the images that a machine holds or fetches, with room for one more.
func hostImages(host *Host, now float64) []plan.Held {
	images := make([]plan.Held, 0, len(host.images)+len(host.fetching)+1)
	for image, at := range host.fetching {
		images = append(images, plan.Held{Image: image, ReadyAt: max(seconds(at), now+minFetchSeconds)})
	}
	for image := range host.images {
		if _, fetching := host.fetching[image]; !fetching {
			images = append(images, plan.Held{Image: image, ReadyAt: now})
		}
	}
	return images
}

// shardDevices are a shard's machines: from own state where it is owned here, else from its
// owner's gossip. Room of preemptible tasks counts as free.
func (c *Core) shardDevices(shard *Shard) []device {
	if !shard.servedHere() {
		return c.reportedDevices(shard)
	}
	if shard.devices == nil || c.now > shard.devicesAt+ownDevicesFor {
		shard.devices, shard.devicesAt = nil, c.now
		for _, host := range shard.hostList() {
			if host.countsForPlans(c.now) {
				shard.devices = append(shard.devices, c.hostDevice(host, true))
			}
		}
	}
	return shard.devices
}

// reportedDevices are the machines of another controller's shard by its newest gossip.
func (c *Core) reportedDevices(shard *Shard) []device {
	if shard.devices != nil || shard.view == nil || c.now > shard.viewAt+viewUsableFor {
		return shard.devices
	}
	machinesOfType := make([]float64, len(c.types)) // that are ready, so far
	for i := range shard.view.Hosts {
		group := &shard.view.Hosts[i]
		typ := c.typeIndex.lookup(group.Type)
		if typ < 0 {
			continue
		}
		for range min(group.Count, maxHostsPerGroup) {
			d := c.groupDevice(shard, group, typ)
			if group.ReadyInSeconds == 0 {
				machinesOfType[typ]++
				d.Images = c.impliedImages(shard.view, group.Type, machinesOfType[typ])
			}
			shard.devices = append(shard.devices, device{d, shard.zone, nil})
		}
	}
	return shard.devices
}

// groupDevice is one machine of a group that a peer reports.
func (c *Core) groupDevice(shard *Shard, group *HostGroup, typ int) *plan.Device {
	reported := seconds(shard.viewAt)
	d := &plan.Device{
		Kind:          c.kindIndex(shard.zone, typ, group.Spot),
		Total:         c.types[typ].Capacity,
		UpAt:          reported + group.ReadyInSeconds,
		SecondsPerGB:  c.fetchRate(typ),
		Slowdown:      1,
		FetchesDoneAt: reported + group.FetchingSeconds,
	}
	if group.Used.Cores > 0 || group.Used.GPUs > 0 {
		use := plan.Use{Start: 0, End: reported + group.BusySeconds, Amount: group.Used}
		d.Uses = append(make([]plan.Use, 0, 4), use)
	}
	return d
}

// impliedImages are the images that the nth machine of a type is taken to hold. Gossip says
// only what share of the machines of a type holds an image, so each image is spread evenly
// over them.
func (c *Core) impliedImages(view *ShardView, typeName string, nth float64) []plan.Held {
	var images []plan.Held
	for _, image := range view.Images {
		if image.Type == typeName && math.Floor(nth*image.Share) > math.Floor((nth-1)*image.Share) {
			images = append(images, plan.Held{Image: c.images.indexOf(image.Image)})
		}
	}
	return images
}
