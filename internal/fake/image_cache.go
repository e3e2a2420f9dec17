package fake

import (
	"slices"
	"time"

	"roadcleat/internal/core"
)

const (
	// defaultFetchGBPerSecond is the fetch rate of machine types without one.
	defaultFetchGBPerSecond = 0.5
	// fetchedToleranceGB is how much of an image may be missing because of rounding when its
	// fetch is complete.
	fetchedToleranceGB = 1e-6
)

// imageCache holds a machine's images: the most recently used ones up to the size of its
// cache, and those being fetched, which share the machine's fetch rate equally.
type imageCache struct {
	cached          []image // least recently used first
	fetching        []*imageFetch
	updatedAt       time.Duration // when the progress of the fetches was last updated
	scheduleVersion int           // version of the scheduled end of the next fetch; earlier ones are void
}

// image is a container image that tasks need.
type image struct {
	name   string
	sizeGB float64
}

// imageFetch is an image being fetched.
type imageFetch struct {
	image
	remainingGB     float64
	waitingAttempts []waitingAttempt
}

// waitingAttempt is an attempt that starts when its image has been fetched.
type waitingAttempt struct {
	attempt *taskAttempt
	epoch   int // the attempt's epoch when it began to wait
	start   func()
}

// isWaiting reports whether the attempt still waits: its epoch has not changed.
func (x waitingAttempt) isWaiting() bool { return x.attempt.epoch == x.epoch }

// fetchImage runs start when the machine has the image of the attempt's job: at once if it is
// cached, or at the end of a fetch that all attempts with the image share.
func (w *Worker) fetchImage(attempt *taskAttempt, start func()) {
	spec := w.simulation.Jobs[attempt.task.Job].Spec
	cache, wanted := &w.imageCache, image{spec.Image, spec.ImageGB}
	if i := slices.Index(cache.cached, wanted); i >= 0 {
		cache.cached = append(slices.Delete(cache.cached, i, i+1), wanted)
		w.scheduleForAttempt(attempt, attempt.epoch, 0, start)
		return
	}
	w.updateFetches()
	i := slices.IndexFunc(cache.fetching, func(fetch *imageFetch) bool { return fetch.image == wanted })
	if i < 0 {
		i = len(cache.fetching)
		cache.fetching = append(cache.fetching, &imageFetch{image: wanted, remainingGB: wanted.sizeGB})
	}
	fetch := cache.fetching[i]
	fetch.waitingAttempts = append(fetch.waitingAttempts, waitingAttempt{attempt, attempt.epoch, start})
	w.scheduleNextFetchEnd()
}

// updateFetches updates the progress of the fetches and aborts those that no attempt waits
// for any more.
func (w *Worker) updateFetches() {
	cache := &w.imageCache
	if n := len(cache.fetching); n > 0 {
		fetchedGB := (w.simulation.Now - cache.updatedAt).Seconds() * w.fetchGBPerSecond() / float64(n)
		for _, fetch := range cache.fetching {
			fetch.remainingGB -= fetchedGB
		}
	}
	cache.updatedAt = w.simulation.Now
	cache.fetching = slices.DeleteFunc(cache.fetching, func(fetch *imageFetch) bool {
		fetch.waitingAttempts = slices.DeleteFunc(fetch.waitingAttempts, func(waiting waitingAttempt) bool {
			return !waiting.isWaiting()
		})
		return len(fetch.waitingAttempts) == 0
	})
}

// fetchGBPerSecond returns the machine's fetch rate.
func (w *Worker) fetchGBPerSecond() float64 {
	if rate := w.machineType().FetchGBPerSecond; rate > 0 {
		return rate
	}
	return defaultFetchGBPerSecond
}

// scheduleNextFetchEnd schedules the end of the fetch that completes next and voids the
// previous schedule.
func (w *Worker) scheduleNextFetchEnd() {
	cache := &w.imageCache
	cache.scheduleVersion++
	if len(cache.fetching) == 0 {
		return
	}
	scheduleVersion, minRemainingGB := cache.scheduleVersion, cache.fetching[0].remainingGB
	for _, fetch := range cache.fetching {
		minRemainingGB = min(minRemainingGB, fetch.remainingGB)
	}
	remainingTime := secondsToDuration(max(minRemainingGB, 0) * float64(len(cache.fetching)) / w.fetchGBPerSecond())
	w.simulation.After(remainingTime+time.Microsecond, func() { w.completeFetches(scheduleVersion) })
}

// completeFetches caches the images that have been fetched and starts the attempts that wait
// for them, once the machine is not paused. It does nothing if the schedule is void.
func (w *Worker) completeFetches(scheduleVersion int) {
	cache := &w.imageCache
	switch {
	case w.terminated || scheduleVersion != cache.scheduleVersion:
		return
	case w.simulation.Now < w.pausedUntil:
		w.simulation.After(w.pausedUntil-w.simulation.Now+time.Millisecond, func() { w.completeFetches(scheduleVersion) })
		return
	}
	w.expireLease()
	w.updateFetches()
	var ready []waitingAttempt
	cache.fetching = slices.DeleteFunc(cache.fetching, func(fetch *imageFetch) bool {
		if fetch.remainingGB > fetchedToleranceGB {
			return false
		}
		w.addToCache(fetch.image)
		ready = append(ready, fetch.waitingAttempts...)
		return true
	})
	w.scheduleNextFetchEnd()
	for _, waiting := range ready {
		if waiting.isWaiting() {
			waiting.start()
		}
	}
}

// addToCache adds an image and evicts the least recently used ones until the cache is within
// its size, except images of unfinished attempts. A cache size of 0 means no limit.
func (w *Worker) addToCache(added image) {
	cache := &w.imageCache
	cache.cached = append(cache.cached, added)
	cachedGB := 0.0
	for _, cached := range cache.cached {
		cachedGB += cached.sizeGB
	}
	maxCachedGB := w.machineType().CacheGB
	cache.cached = slices.DeleteFunc(cache.cached, func(cached image) bool {
		if maxCachedGB == 0 || cachedGB <= maxCachedGB || cached == added || w.usesImage(cached.name) {
			return false
		}
		cachedGB -= cached.sizeGB
		return true
	})
}

// usesImage reports whether an attempt on the machine that has not exited uses an image.
func (w *Worker) usesImage(imageName string) bool {
	for _, attempt := range w.attempts {
		job := w.simulation.Jobs[attempt.task.Job]
		if attempt.state != core.TaskExited && job != nil && job.Spec.Image == imageName {
			return true
		}
	}
	return false
}
