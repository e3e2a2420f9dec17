package fake

import (
	"slices"
	"time"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// disk holds a machine's images: the most recently used ones that its cache has
// room for, and those that are being fetched, which share the machine's rate.
type disk struct {
	cached  []image // least recently used first
	coming  []*fetch
	counted time.Duration // up to when the progress of fetches is reckoned
	plan    int           // counts the times at which the next end was worked out
}

type image struct {
	name string
	gb   float64
}

type fetch struct {
	image
	left  float64 // GB still to come
	tasks []waiter
}

// waiter is a task that starts when its image is there.
type waiter struct {
	t     *running
	epoch int
	start func()
}

// kind is the machine's type.
func (k *Worker) kind() model.MachineType {
	i := slices.IndexFunc(k.w.Cloud.Types, func(m model.MachineType) bool { return m.Name == k.typ })
	if i < 0 {
		return model.MachineType{Name: k.typ}
	}
	return k.w.Cloud.Types[i]
}

// used is what the machine's tasks take of it, one of them left aside.
func (k *Worker) used(but *running) model.Resources {
	var sum model.Resources
	for _, x := range k.tasks {
		if job := k.w.Jobs[x.id.Job]; x != but && x.state != core.TaskExited && job != nil {
			sum = plus(sum, job.Spec.Need)
		}
	}
	return sum
}

// holds says whether the machine has room for so much more, one task left aside.
func (k *Worker) holds(need model.Resources, but *running) bool {
	return within(plus(k.used(but), need), k.kind().Capacity)
}

func plus(a, b model.Resources) model.Resources {
	return model.Resources{Cores: a.Cores + b.Cores, GPUs: a.GPUs + b.GPUs, MemoryGB: a.MemoryGB + b.MemoryGB}
}

func within(a, total model.Resources) bool {
	const hair = 1e-6
	return a.Cores <= total.Cores+hair && a.GPUs <= total.GPUs+hair && a.MemoryGB <= total.MemoryGB+hair
}

// fetch runs start when the machine has the task's image.
func (k *Worker) fetch(t *running, start func()) {
	s := k.w.Jobs[t.id.Job].Spec
	d, im := &k.disk, image{s.Image, s.ImageGB}
	if i := slices.Index(d.cached, im); i >= 0 {
		d.cached = append(slices.Delete(d.cached, i, i+1), im)
		epoch := t.epoch
		k.step(t, epoch, 0, start)
		return
	}
	k.progress()
	i := slices.IndexFunc(d.coming, func(f *fetch) bool { return f.image == im })
	if i < 0 {
		d.coming, i = append(d.coming, &fetch{image: im, left: im.gb}), len(d.coming)
	}
	d.coming[i].tasks = append(d.coming[i].tasks, waiter{t, t.epoch, start})
	k.nextImage()
}

// progress reckons what came of each image since the last look and gives up those that no
// task waits for any more.
func (k *Worker) progress() {
	d := &k.disk
	if n := len(d.coming); n > 0 {
		each := (k.w.Now - d.counted).Seconds() * k.rate() / float64(n)
		for _, f := range d.coming {
			f.left -= each
		}
	}
	d.counted = k.w.Now
	d.coming = slices.DeleteFunc(d.coming, func(f *fetch) bool {
		f.tasks = slices.DeleteFunc(f.tasks, func(x waiter) bool { return x.t.epoch != x.epoch })
		return len(f.tasks) == 0
	})
}

// rate is how many GB a second the machine fetches.
func (k *Worker) rate() float64 {
	if r := k.kind().FetchGBPerSecond; r > 0 {
		return r
	}
	return 0.5
}

// nextImage waits for the next image to be there.
func (k *Worker) nextImage() {
	d := &k.disk
	d.plan++
	if len(d.coming) == 0 {
		return
	}
	plan, least := d.plan, d.coming[0].left
	for _, f := range d.coming {
		least = min(least, f.left)
	}
	k.w.After(time.Duration(max(least, 0)*float64(len(d.coming))/k.rate()*float64(time.Second))+time.Microsecond, func() {
		k.arrived(plan)
	})
}

// arrived starts what waits for the images that are there; a machine that hangs
// does so when it goes on.
func (k *Worker) arrived(plan int) {
	d := &k.disk
	switch {
	case k.gone || plan != d.plan:
		return
	case k.w.Now < k.hangUntil:
		k.w.After(k.hangUntil-k.w.Now+time.Millisecond, func() { k.arrived(plan) })
		return
	}
	k.expire()
	k.progress()
	var here []waiter
	d.coming = slices.DeleteFunc(d.coming, func(f *fetch) bool {
		if f.left > 1e-6 {
			return false
		}
		k.cache(f.image)
		here = append(here, f.tasks...)
		return true
	})
	k.nextImage()
	for _, x := range here {
		if x.t.epoch == x.epoch {
			x.start()
		}
	}
}

// cache keeps an image and drops what was not used for longest, except what tasks use.
func (k *Worker) cache(im image) {
	d := &k.disk
	d.cached = append(d.cached, im)
	sum := 0.0
	for _, x := range d.cached {
		sum += x.gb
	}
	total := k.kind().CacheGB
	d.cached = slices.DeleteFunc(d.cached, func(x image) bool {
		if total == 0 || sum <= total || x == im || k.uses(x.name) {
			return false
		}
		sum -= x.gb
		return true
	})
}

func (k *Worker) uses(image string) bool {
	for _, t := range k.tasks {
		if job := k.w.Jobs[t.id.Job]; t.state != core.TaskExited && job != nil && job.Spec.Image == image {
			return true
		}
	}
	return false
}
