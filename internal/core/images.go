package core

import "slices"

// Image fetches and the machines' image caches, as far as an owner can tell: a worker reports
// what its tasks wait for, not what it has cached.

const (
	// minMeasuredImageGB is the size of the smallest image whose fetch is measured: the
	// time of a smaller one is mostly something else.
	minMeasuredImageGB = 0.2
	// fetchRateWeight is the weight of one fetch in the running mean, and fetchRateBound
	// how many times the mean one fetch counts at most.
	fetchRateWeight = 0.2
	fetchRateBound  = 4
)

// recordImage notes that a task runs on the host, so that its image is there.
func (c *Core) recordImage(host *Host, task *Task, job *Job) {
	if job.image < 0 {
		return
	}
	if _, fetching := host.fetching[job.image]; fetching {
		delete(host.fetching, job.image)
		c.learnFetchRate(host, job.spec.ImageGB, seconds(c.now-task.fetchStartedAt))
	}
	host.images[job.image] = c.now
	c.evictImages(host, job.image)
}

// learnFetchRate lets a fetch that has ended count for the rate of its machine type.
func (c *Core) learnFetchRate(host *Host, imageGB, took float64) {
	if imageGB <= minMeasuredImageGB || took <= 0 || host.typeIndex < 0 {
		return
	}
	rate := c.fetchRate(host.typeIndex)
	observed := min(took/imageGB, fetchRateBound*rate)
	c.fetchSecondsPerGB[host.typeIndex] = rate + fetchRateWeight*(observed-rate)
	c.emit(Observation{MetricImageFetch, took})
	c.stats.FetchSeconds += took
	c.stats.FetchGB += imageGB
}

// evictImages drops what the machine's cache no longer holds: it keeps the most recently used
// images only, and always the one in use.
func (c *Core) evictImages(host *Host, inUse int) {
	if host.typeIndex < 0 || len(host.images) <= 1 {
		return
	}
	images := sorted(host.images) // of images used at the same moment the lowest goes
	for len(images) > 1 {
		total, oldest := 0.0, 0
		for i, image := range images {
			total += c.imageGB[image]
			if host.images[image] < host.images[images[oldest]] {
				oldest = i
			}
		}
		if total <= c.types[host.typeIndex].CacheGB || images[oldest] == inUse {
			return
		}
		delete(host.images, images[oldest])
		images = slices.Delete(images, oldest, oldest+1)
	}
}

// fetchRate is the seconds that machines of a type take to fetch a GB: as observed, else as the
// catalogue states, else as the operators set.
func (c *Core) fetchRate(typ int) float64 {
	if rate, ok := c.fetchSecondsPerGB[typ]; ok {
		return rate
	}
	rate := c.cfg.Tuning.FetchSecondsPerGB
	if perSecond := c.types[typ].FetchGBPerSecond; perSecond > 0 {
		rate = 1 / perSecond
	}
	c.fetchSecondsPerGB[typ] = rate
	return rate
}
