package core

import "time"

// States of a machine, as its part's owner sees it.
const (
	booting = iota + 1
	up
	returning // asked the cloud to take it back
	dead      // the cloud has taken it back
)

// Phases of a task on its way through a machine.
const (
	placing = iota + 1 // booked; the placement is not durable yet
	onHost             // the placement is durable; it may be launched
)

// host is a machine of a part.
type host struct {
	name, addr string
	part       *part
	typ        int // -1 while unknown
	spot       bool
	state      int

	hiredAt, eta time.Duration
	giveUp       time.Duration // when a machine that has not come up is returned
	since        time.Duration // when it became known here or came up
	session, seq uint64
	beatSeq      uint64 // of the newest report that came by itself
	token        uint64 // highest the worker is known to have seen
	acked        time.Duration
	lastHeard    time.Duration
	unread       time.Duration // how long since then this controller stood still and heard nobody
	lastAnswer   time.Duration
	unlisted     int  // listings in a row without it
	expired      bool // its lease has run out for certain
	unheard      int  // calls to it without an answer, each after a fresh report
	unheardAt    time.Duration
	deaf         bool // its reports come, but what it is told does not arrive
	recall       time.Duration
	blockUntil   time.Duration
	patience     time.Duration
	blame        map[string]int // failures here by job since anything last ended well
	slow         float64        // run times over estimates, as a running mean
	judged       int
	idleSince    time.Duration
	failed       bool
	cordoned     bool // gets no new work: its replicas are being moved off it
	cordonedAt   time.Duration

	tasks    map[TaskID]*task
	reported map[TaskID]Reported
	queue    []Order
	queued   bool                 // on the part's list of hosts with orders
	unsure   map[launchKey]launch // launches that may still be under way
	busy     bool                 // an /orders call is open
	greetAt  time.Duration
	greeting bool
	greeted  int // in vain, in a row
	returnAt time.Duration

	ran, held float64 // core seconds of running tasks, and of tasks that wait for their image
	metered   time.Duration

	images   map[int]time.Duration // image -> last used
	fetching map[int]time.Duration // image -> when it should be there
	fetchEnd time.Duration
}

// task is a task that is, may be or is about to be on a machine.
type task struct {
	id        TaskID
	slice     *slice // nil: nobody wants it any more
	host      *host
	attempt   uint64
	phase     int
	state     int
	need      Amount
	team      int
	since     time.Duration
	started   time.Duration // when it was seen running
	fetchFrom time.Duration
	sent      bool // a launch may have reached the worker
	answered  bool // one went into an answer to a report
	seen      bool // the worker has shown it
	inherited bool // placed by an earlier owner
	halting   bool
	haltAt    time.Duration
	leeway    float64
}

// usable says whether work may be started on the host: it is up, wanted, its
// last report is no older than the next one should be, and it has shown my
// token. Only that proves that it hears me and that its report is no copy of
// one sent long ago, by a machine that may be gone.
func (h *host) usable(now time.Duration) bool {
	return h.state == up && h.recall == 0 && !h.expired && !h.failed && !h.deaf && !h.cordoned && now >= h.blockUntil &&
		h.session > 0 && h.token >= h.part.tenure && now < h.lastHeard+h.patience
}

// planned says whether the plans count on the host: it can take work now or is
// on its way.
func (h *host) planned(now time.Duration) bool {
	return h.typ >= 0 && (h.usable(now) || h.state == booting)
}

// joining says whether a machine is up and about to show that it hears me.
func (h *host) joining(now time.Duration) bool {
	return h.state == up && h.session > 0 && h.token < h.part.tenure && h.recall == 0 && !h.failed && !h.deaf && now < h.since+5*time.Second
}

func (c *Core) hostNamed(p *part, name string) *host {
	h := p.hosts[name]
	if h == nil {
		h = &host{name: name, part: p, typ: -1, state: up, since: c.now, lastHeard: c.now, slow: 1, patience: c.cfg.Report * 18 / 10,
			tasks: map[TaskID]*task{}, reported: map[TaskID]Reported{}, unsure: map[launchKey]launch{},
			images: map[int]time.Duration{}, fetching: map[int]time.Duration{}, idleSince: c.now}
		p.addHost(h)
	}
	return h
}

// occupy books a task's room on its host.
func (c *Core) occupy(p *part, t *task) {
	t.host.tasks[t.id] = t
	if t.team >= 0 {
		p.used[t.team] = p.used[t.team].plus(t.need, 1)
	}
}

// vacate gives the room back.
func (c *Core) vacate(p *part, t *task) {
	if t.host.tasks[t.id] != t {
		return
	}
	delete(t.host.tasks, t.id)
	if len(t.host.tasks) == 0 {
		t.host.idleSince = c.now
	}
	if t.team >= 0 {
		p.used[t.team] = p.used[t.team].plus(t.need, -1)
	}
	p.replan = true
}

// unplace undoes a placement that is not durable.
func (c *Core) unplace(p *part, t *task) {
	c.vacate(p, t)
	if t.slice != nil && t.slice.tasks[t.id.Index] == t {
		delete(t.slice.tasks, t.id.Index)
		t.slice.waiting.add(t.id.Index)
	}
}

// makeStray leaves a task on its host that nobody wants.
func (c *Core) makeStray(p *part, t *task) {
	t.slice = nil
	if t.phase == placing {
		c.vacate(p, t)
		return
	}
	c.halt(p, t, 0)
}

func (t *task) job() *job {
	if t.slice == nil {
		return nil
	}
	return t.slice.job
}

// imageThere notes that a host has an image, and learns from the fetch.
func (c *Core) imageThere(h *host, t *task, j *job) {
	if j.image < 0 {
		return
	}
	if _, was := h.fetching[j.image]; was {
		delete(h.fetching, j.image)
		if took := seconds(c.now - t.fetchFrom); j.spec.ImageGB > 0.2 && took > 0 && h.typ >= 0 {
			rate := c.fetchRate(h.typ)
			c.sPerGB[h.typ] = rate + 0.2*(min(took/j.spec.ImageGB, 4*rate)-rate)
			c.emit(Observed{Fetch, took})
			c.stats.FetchSeconds += took
			c.stats.FetchGB += j.spec.ImageGB
		}
	}
	h.images[j.image] = c.now
	if h.typ < 0 {
		return
	}
	// The machine caches the most recently used images only.
	for {
		total, oldest := 0.0, -1
		for _, img := range sorted(h.images) { // images used at the same moment go by number
			total += c.imageGB[img]
			if oldest < 0 || h.images[img] < h.images[oldest] {
				oldest = img
			}
		}
		if total <= c.types[h.typ].CacheGB || len(h.images) <= 1 || oldest == j.image {
			return
		}
		delete(h.images, oldest)
	}
}

// fetchRate is seconds per GB on machines of a type: what was seen, else what
// the catalogue states, else the operators' setting.
func (c *Core) fetchRate(typ int) float64 {
	if r, ok := c.sPerGB[typ]; ok {
		return r
	}
	r := c.cfg.Knobs.FetchSPerGB
	if g := c.types[typ].GBPerS; g > 0 {
		r = 1 / g
	}
	c.sPerGB[typ] = r
	return r
}

// expectedEnd is when a task should leave its host. One that outlives its
// estimate is expected to run on in proportion to its age, never to end now.
func (c *Core) expectedEnd(t *task) time.Duration {
	if t.halting {
		return max(t.haltAt+duration(t.leeway), c.now+100*time.Millisecond)
	}
	est := 30.0
	if j := t.job(); j != nil {
		est = c.estimate(j)
	}
	if t.state == Running || t.state == Saving {
		ran := seconds(c.now - t.started)
		return c.now + duration(max(est-ran, 0.35*ran, 0.5))
	}
	wait := 0.3
	if j := t.job(); j != nil && j.image >= 0 {
		if at, ok := t.host.fetching[j.image]; ok {
			wait = max(seconds(at-c.now), wait)
		}
	}
	return c.now + duration(wait+est)
}

// meter adds up how the host's cores were used since it was last called.
func (c *Core) meter(h *host) {
	dt := seconds(c.now - h.metered)
	h.metered = c.now
	if dt > 5 {
		return // the first time
	}
	ran, held := 0.0, 0.0 // whole cores add up to the same in any order
	for _, t := range h.tasks {
		if t.state == Running {
			ran += t.need.Cores
		} else {
			held += t.need.Cores
		}
	}
	h.ran += ran * dt
	h.held += held * dt
}

func (c *Core) typeName(h *host) string {
	if h.typ < 0 {
		return "unknown"
	}
	return c.types[h.typ].Name
}
