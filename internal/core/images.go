package core

import "slices"

// This file estimates the content of the machines' image caches and the time of image fetches per
// GB. A worker reports which tasks wait for their image, but not which images it has cached.

const (
	// minMeasuredImageGB is the minimum size of an image whose fetch time is used. The time of a
	// smaller fetch depends mostly on delays other than the transfer.
	minMeasuredImageGB = 0.2
	// fetchTimeWeight is the weight of one fetch in the running mean of a machine type's fetch time
	// per GB. maxFetchTimeRatio bounds one fetch to a multiple of the mean.
	fetchTimeWeight   = 0.2
	maxFetchTimeRatio = 4
)

// recordCachedImage records that a task runs on the host, so the host's cache contains the task's
// image.
func (c *Core) recordCachedImage(host *Host, task *Task, job *Job) {
	if job.image < 0 {
		return
	}
	if _, fetching := host.fetchingUntil[job.image]; fetching {
		delete(host.fetchingUntil, job.image)
		c.updateFetchSecondsPerGB(host, job.spec.ImageGB, toSeconds(c.now-task.fetchStartedAt))
	}
	host.imageLastUsedAt[job.image] = c.now
	c.evictImages(host, job.image)
}

// updateFetchSecondsPerGB adds a completed fetch to the running mean of its machine type's fetch
// time per GB.
func (c *Core) updateFetchSecondsPerGB(host *Host, imageGB, fetchSeconds float64) {
	if imageGB <= minMeasuredImageGB || fetchSeconds <= 0 || host.typeIndex < 0 {
		return
	}
	meanSecondsPerGB := c.imageFetchSecondsPerGB(host.typeIndex)
	observedSecondsPerGB := min(fetchSeconds/imageGB, maxFetchTimeRatio*meanSecondsPerGB)
	c.fetchSecondsPerGB[host.typeIndex] = meanSecondsPerGB + fetchTimeWeight*(observedSecondsPerGB-meanSecondsPerGB)
	c.emit(Observation{MetricImageFetchSeconds, fetchSeconds})
	c.stats.FetchSeconds += fetchSeconds
	c.stats.FetchGB += imageGB
}

// evictImages removes images that the machine's cache no longer holds. The worker keeps the most
// recently used images that fit into the cache, and always the image in use.
func (c *Core) evictImages(host *Host, imageInUse int) {
	if host.typeIndex < 0 || len(host.imageLastUsedAt) <= 1 {
		return
	}
	// The keys are sorted, so of images with equal times of last use the lowest index is evicted
	// first.
	images := sortedKeys(host.imageLastUsedAt)
	for len(images) > 1 {
		totalGB, oldest := 0.0, 0
		for i, image := range images {
			totalGB += c.imageGB[image]
			if host.imageLastUsedAt[image] < host.imageLastUsedAt[images[oldest]] {
				oldest = i
			}
		}
		if totalGB <= c.machineTypes[host.typeIndex].CacheGB || images[oldest] == imageInUse {
			return
		}
		delete(host.imageLastUsedAt, images[oldest])
		images = slices.Delete(images, oldest, oldest+1)
	}
}

// imageFetchSecondsPerGB returns the seconds that machines of a type need to fetch 1 GB of an
// image: the mean of the observed fetches, else the value in the cloud's catalog, else the
// operators' setting.
func (c *Core) imageFetchSecondsPerGB(typeIndex int) float64 {
	if secondsPerGB, ok := c.fetchSecondsPerGB[typeIndex]; ok {
		return secondsPerGB
	}
	secondsPerGB := c.cfg.Tuning.FetchSecondsPerGB
	if gbPerSecond := c.machineTypes[typeIndex].FetchGBPerSecond; gbPerSecond > 0 {
		secondsPerGB = 1 / gbPerSecond
	}
	c.fetchSecondsPerGB[typeIndex] = secondsPerGB
	return secondsPerGB
}
