package core

import (
	"math"
	"time"

	"roadcleat/internal/plan"
)

const (
	// joinDelaySeconds is the time until a machine whose worker is joining is expected to accept
	// tasks.
	joinDelaySeconds = 0.5
	// minRemainingBootSeconds is the shortest expected time until a booting machine is up, even
	// if its boot is overdue.
	minRemainingBootSeconds = 1.0
	// minRemainingFetchSeconds is the shortest expected time until an image that is being fetched
	// is ready, even if the fetch is overdue.
	minRemainingFetchSeconds = 0.2

	// ownDevicesTTL is how long the devices computed for a shard owned here are cached.
	ownDevicesTTL = 500 * time.Millisecond
	// maxPlanningViewAge is the maximum age of the newest gossip about another controller's shard
	// from which devices are made for planning.
	maxPlanningViewAge = 10 * time.Second
	// maxReportedHostsPerGroup limits the number of machines of a group that is accepted from a
	// peer's gossip.
	maxReportedHostsPerGroup = 50_000
)

// device is a planner device together with the zone and the host of the machine it describes.
type device struct {
	*plan.Device
	zone int
	host *Host // nil: a machine in another controller's shard, or one that is not rented yet
}

// toPlannerDevices returns the planner's part of the devices, in the same order.
func toPlannerDevices(devices []device) []*plan.Device {
	plannerDevices := make([]*plan.Device, len(devices))
	for i := range devices {
		plannerDevices[i] = devices[i].Device
	}
	return plannerDevices
}

// hostDevice returns the planner device of a machine in a shard owned here. If withoutPreemptible
// is set, the resources of preemptible tasks count as free.
func (c *Core) hostDevice(host *Host, withoutPreemptible bool) device {
	machineType := &c.machineTypes[host.typeIndex]
	now := toSeconds(c.now)
	plannerDevice := &plan.Device{
		Kind:          c.zoneKindIndex(host.shard.zone, host.typeIndex, host.spot),
		Capacity:      machineType.Capacity,
		UpAt:          now,
		SecondsPerGB:  c.imageFetchSecondsPerGB(host.typeIndex),
		Slowdown:      1,
		FetchesDoneAt: toSeconds(host.fetchQueueEmptyAt),
		CachedImages:  hostImages(host, now),
		Allocations:   make([]plan.Allocation, 0, len(host.tasks)+4),
	}
	if host.state == hostBooting {
		plannerDevice.UpAt = max(toSeconds(host.expectedUpAt), now+minRemainingBootSeconds)
	} else if host.isJoining(c.now) {
		plannerDevice.UpAt = now + joinDelaySeconds
	}
	if len(host.tasks) == 0 {
		// If tasks share machines, empty ones can be returned to the cloud.
		plannerDevice.PenaltySeconds = emptyHostPenaltySeconds
	}
	for _, task := range host.tasks {
		if withoutPreemptible && c.isPreemptible(task) {
			continue
		}
		allocation := plan.Allocation{Start: 0, End: toSeconds(c.expectedExitAt(task)), Amount: task.resources}
		plannerDevice.Allocations = append(plannerDevice.Allocations, allocation)
	}
	return device{plannerDevice, host.shard.zone, host}
}

// hostImages returns the images that a machine holds or is fetching, with capacity for one more
// element.
func hostImages(host *Host, now float64) []plan.CachedImage {
	images := make([]plan.CachedImage, 0, len(host.imageLastUsedAt)+len(host.fetchingUntil)+1)
	for image, readyAt := range host.fetchingUntil {
		images = append(images, plan.CachedImage{
			Image:   image,
			ReadyAt: max(toSeconds(readyAt), now+minRemainingFetchSeconds),
		})
	}
	for image := range host.imageLastUsedAt {
		if _, fetching := host.fetchingUntil[image]; !fetching {
			images = append(images, plan.CachedImage{Image: image, ReadyAt: now})
		}
	}
	return images
}

// shardDevices returns the planner devices of a shard: from this controller's own state if it
// owns the shard, else from the owner's gossip. Resources of preemptible tasks count as free.
func (c *Core) shardDevices(shard *Shard) []device {
	if !shard.isServedHere() {
		return c.reportedDevices(shard)
	}
	if shard.devices == nil || c.now > shard.devicesAt+ownDevicesTTL {
		shard.devices, shard.devicesAt = nil, c.now
		for _, host := range shard.sortedHosts() {
			if host.isPlannable(c.now) {
				shard.devices = append(shard.devices, c.hostDevice(host, true))
			}
		}
	}
	return shard.devices
}

// reportedDevices returns the planner devices of another controller's shard according to its newest
// gossip. The devices are cached until new gossip arrives; none are made from gossip older than
// maxPlanningViewAge.
func (c *Core) reportedDevices(shard *Shard) []device {
	if shard.devices != nil || shard.view == nil || c.now > shard.viewAt+maxPlanningViewAge {
		return shard.devices
	}
	readyMachines := make([]float64, len(c.machineTypes)) // number of ready machines added so far, by type
	for i := range shard.view.Hosts {
		group := &shard.view.Hosts[i]
		typeIndex := c.typeNames.lookup(group.Type)
		if typeIndex < 0 {
			continue
		}
		for range min(group.Count, maxReportedHostsPerGroup) {
			plannerDevice := c.groupDevice(shard, group, typeIndex)
			if group.ReadyInSeconds == 0 {
				readyMachines[typeIndex]++
				plannerDevice.CachedImages = c.inferredImages(shard.view, group.Type, readyMachines[typeIndex])
			}
			shard.devices = append(shard.devices, device{plannerDevice, shard.zone, nil})
		}
	}
	return shard.devices
}

// groupDevice returns the planner device of one machine of a group reported by a peer.
func (c *Core) groupDevice(shard *Shard, group *HostGroup, typeIndex int) *plan.Device {
	reportedAt := toSeconds(shard.viewAt)
	plannerDevice := &plan.Device{
		Kind:          c.zoneKindIndex(shard.zone, typeIndex, group.Spot),
		Capacity:      c.machineTypes[typeIndex].Capacity,
		UpAt:          reportedAt + group.ReadyInSeconds,
		SecondsPerGB:  c.imageFetchSecondsPerGB(typeIndex),
		Slowdown:      1,
		FetchesDoneAt: reportedAt + group.FetchingSeconds,
	}
	if group.Used.Cores > 0 || group.Used.GPUs > 0 {
		allocation := plan.Allocation{Start: 0, End: reportedAt + group.BusySeconds, Amount: group.Used}
		plannerDevice.Allocations = append(make([]plan.Allocation, 0, 4), allocation)
	}
	return plannerDevice
}

// inferredImages returns the images that the machine with the given ordinal among the ready
// machines of its type is assumed to hold. Gossip reports only the share of a type's machines
// that hold an image, so each image is distributed evenly over them.
func (c *Core) inferredImages(view *ShardView, typeName string, ordinal float64) []plan.CachedImage {
	var images []plan.CachedImage
	for _, image := range view.Images {
		if image.Type == typeName && math.Floor(ordinal*image.Share) > math.Floor((ordinal-1)*image.Share) {
			images = append(images, plan.CachedImage{Image: c.images.indexOrAdd(image.Image)})
		}
	}
	return images
}
