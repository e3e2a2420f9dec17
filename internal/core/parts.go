package core

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// part is one zone's machines. Whoever holds its key in the state service
// owns it; the revision of that claim is the fencing token.
type part struct {
	zone int
	name string

	known     bool   // the store's view of the key has been read
	owner     string // by the store's view; empty when free
	stamp     uint64
	freeSince time.Duration
	removed   uint64 // revision at which the key was last seen gone
	offered   bool   // its last owner named this controller

	mine        bool
	token       uint64
	tenure      uint64 // first token of my unbroken ownership
	claiming    bool
	handingOver bool // told to stop: commit nothing, answer nobody
	loading     bool
	loaded      bool
	blindAt     time.Duration // since when its slices are not known, if not loaded
	// What a new owner knows of its machines.
	fleetListed bool          // the cloud's list of a moment after the claim has been read
	freshStart  bool          // there was no work yet
	heardAt     time.Duration // when any of its workers was last heard here
	wasDark     bool

	homeUp time.Duration // since when the home controller is seen well

	hosts     map[string]*host
	order     []*host                  // the same by name
	toSend    []*host                  // hosts with orders
	gone      map[string]time.Duration // machines whose return was confirmed
	slices    map[string]*slice
	dirty     map[string]*slice
	finishing []*finish                // jobs of several parts to be set done
	later     map[string]time.Duration // slices with ends to record by then
	used      []Amount                 // by team

	committing bool
	refreshing map[string]bool
	replan     bool
	planAt     time.Duration
	planNext   time.Duration // no plan before then: planning leaves room for the rest
	sizeAt     time.Duration
	slowSum    float64 // of machines judged by their run times
	slowN      int
	retryAt    time.Duration
	reclaimAt  time.Duration // when a raised token is due, 0 for never

	hireSeq int
	hiring  []*hire
	scarce  map[Offer]time.Duration
	demand  []sample // of work that is no backfill
	// When this ownership saw its first demand.
	demandFrom   time.Duration
	keep         kept
	backfillRoom []float64 // what backfill may take, by pool, as of backfillAt
	backfillAt   time.Duration
	shortage     []need
	export       map[string]export // by job
	loadedAt     time.Duration
	loadAt       time.Duration // when the load is logged next

	moving    bool // tasks are on their way to another part
	moveAt    time.Duration
	view      *PartView // by the owner's gossip
	viewAt    time.Duration
	devices   []device // the view as the programme sees it
	devicesAt time.Duration
	queue     []Backlog // of a part owned here, as of queueAt
	queueAt   time.Duration
	dealt     []dealt // from here, lately
}

type partValue struct {
	Owner string `json:"owner"`
}

func newPart(zone int, name string) *part {
	return &part{zone: zone, name: name, hosts: map[string]*host{}, gone: map[string]time.Duration{},
		slices: map[string]*slice{}, dirty: map[string]*slice{}, later: map[string]time.Duration{}, scarce: map[Offer]time.Duration{},
		refreshing: map[string]bool{}, export: map[string]export{}}
}

func (p *part) key() string { return "part/" + p.name }

// keepLease holds this controller's lease at the state service.
func (c *Core) keepLease() {
	if c.leaseBusy || c.now < c.leaseRetry {
		return
	}
	sent := c.now
	if c.lease == 0 {
		c.leaseBusy = true
		c.call(HoldOp{c.cfg.Knobs.Hold}, func(r any) {
			c.leaseBusy = false
			res := r.(HoldResult)
			c.store(sent, res.Outcome == OK)
			if res.Outcome != OK {
				c.leaseRetry = c.now + 500*time.Millisecond
				return
			}
			c.lease, c.leaseSent = res.Lease, sent
		})
		return
	}
	if c.now < c.leaseSent+c.cfg.Knobs.Hold/4 {
		return
	}
	c.leaseBusy = true
	lease := c.lease
	c.call(RenewOp{lease}, func(r any) {
		c.leaseBusy = false
		res := r.(RenewResult)
		c.store(sent, res.Outcome == OK || res.Outcome == Refused)
		switch res.Outcome {
		case OK:
			c.leaseSent = sent
		case Refused:
			// The lease has ended and with it the keys of my parts. Another
			// controller may have held them since.
			c.note(2, "lease ended", "lease", lease)
			c.lease = 0
			for _, p := range c.parts {
				if p.mine {
					c.lose(p, "lease ended")
				}
				p.known = false
			}
			c.partsView.loaded = false
		default:
			c.leaseRetry = c.now + 300*time.Millisecond
		}
	})
}

// follow keeps a view of a prefix: a listing first, then its changes. The
// view is complete up to the moment the last answered call was sent; a call
// that is still open proves nothing.
func (c *Core) follow(v *view) {
	if v.busy || c.now < v.nextAt {
		return
	}
	v.busy = true
	sent := c.now
	if !v.loaded {
		// The jobs' view starts at the present; whatever this controller needs
		// of the past it reads key by key.
		c.call(ListOp{"part/"}, func(r any) {
			v.busy = false
			res := r.(ListResult)
			c.store(sent, res.Outcome == OK)
			if res.Outcome != OK {
				v.nextAt = c.now + 300*time.Millisecond
				return
			}
			v.loaded, v.ledger, v.fresh, v.since, v.started = true, res.Ledger, sent, sent, true
			if v == &c.partsView {
				c.listedParts(res.Items)
			} else {
				c.rereadLive()
				for _, p := range c.parts {
					if p.loaded {
						p.loaded, p.blindAt = false, c.now // its slices are listed again
					}
				}
			}
		})
		return
	}
	c.call(FollowOp{v.prefix, v.ledger, c.followFor(v)}, func(r any) {
		v.busy = false
		res := r.(FollowResult)
		switch res.Outcome {
		case OK:
			v.ledger = max(v.ledger, res.Ledger)
			for _, n := range res.News {
				c.news(n)
			}
			v.fresh = sent
			c.store(sent, true)
			if len(res.News) > 0 {
				v.nextAt = c.now + c.pauseFor(v) // with many jobs each look would bring some
			}
		case Refused:
			c.store(sent, true)
			v.loaded = false
		default:
			c.store(sent, false)
			v.nextAt = c.now + 300*time.Millisecond
		}
	})
}

func (c *Core) news(n Item) {
	if zone, ok := strings.CutPrefix(n.Key, "part/"); ok {
		c.partSeen(c.parts[c.zone(zone)], n.Value, n.Stamp)
	} else if id, ok := strings.CutPrefix(n.Key, "job/"); ok && n.Value != nil {
		c.learnJob(id, n.Value, n.Stamp)
	}
}

func (c *Core) listedParts(items []Item) {
	seen := map[string]bool{}
	for _, it := range items {
		zone := strings.TrimPrefix(it.Key, "part/")
		seen[zone] = true
		c.partSeen(c.parts[c.zone(zone)], it.Value, it.Stamp)
	}
	for _, p := range c.parts {
		if !seen[p.name] && !p.claiming {
			c.partSeen(p, nil, c.partsView.ledger)
		}
	}
}

// partSeen applies what the store says of a part. A deletion carries the
// revision of the deletion.
func (c *Core) partSeen(p *part, value []byte, stamp uint64) {
	if stamp < p.stamp || p.claiming {
		return
	}
	if value == nil {
		if p.mine && stamp > p.token {
			c.lose(p, "key removed")
		}
		if p.mine {
			return
		}
		p.known, p.removed = true, max(p.removed, stamp)
		if p.owner != "" || p.freeSince == 0 {
			p.freeSince = c.now
		}
		p.owner, p.stamp = "", 0
		return
	}
	var v partValue
	if json.Unmarshal(value, &v) != nil {
		return
	}
	if p.mine && stamp > p.token {
		c.lose(p, "claimed by "+v.Owner)
	}
	p.known, p.owner, p.stamp, p.freeSince = true, v.Owner, stamp, 0
}

// lose ends ownership at once.
func (c *Core) lose(p *part, why string) {
	c.note(2, "part lost", "part", p.name, "token", p.token, "why", why)
	fresh := newPart(p.zone, p.name)
	fresh.hireSeq = p.hireSeq
	*p = *fresh
}

// keepParts claims free parts and hands parts home.
func (c *Core) keepParts() {
	if c.lease == 0 || !c.storeWell() {
		return
	}
	for _, p := range c.parts {
		switch {
		case p.mine:
			c.maybeHandOver(p)
			if !p.loaded && !p.loading {
				c.load(p)
			}
			if p.reclaimAt > 0 && c.now >= p.reclaimAt && p.loaded && !p.committing && !p.handingOver {
				p.reclaimAt = 0
				if slices.ContainsFunc(p.hostList(), func(h *host) bool { return c.launchMayCome(p, h) }) {
					c.claim(p)
				}
			}
		case !p.known || p.claiming || c.now < p.retryAt:
		case p.owner == c.cfg.Label:
			// My own key from an earlier life: take it up again with a new
			// revision, so that nothing the earlier life sent counts.
			c.claim(p)
		case p.owner == "" && c.now >= p.freeSince+c.claimDelay(p):
			c.claim(p)
		}
	}
}

// home says whether a controller's own zone is the part's.
func (c *Core) homeOf(p *part) (mine bool, other *peer) {
	if c.cfg.Zone == p.name {
		return true, nil
	}
	for _, q := range c.peers {
		if q.Zone == p.name {
			return false, q
		}
	}
	return false, nil
}

// A home controller not heard for homeSilent stands in nobody's way for longer than
// noHome.
const (
	homeSilent = 2 * time.Second
	noHome     = 300 * time.Millisecond
)

// claimDelay is how long a free part is left to controllers with a better
// reason to take it: its home first, then whoever owns the fewest.
func (c *Core) claimDelay(p *part) time.Duration {
	if mine, _ := c.homeOf(p); mine && c.now >= c.cutOffUntil || p.offered {
		return 0
	}
	owned := 0
	for _, q := range c.parts {
		if q.mine || q.claiming {
			owned++
		}
	}
	grace := c.cfg.Knobs.Grace
	if _, home := c.homeOf(p); home == nil || c.now > home.heard+homeSilent {
		grace = min(grace, noHome) // nobody to wait for, and its workers' leases run
	}
	return grace + time.Duration(owned)*700*time.Millisecond + time.Duration(c.rank())*200*time.Millisecond
}

func (c *Core) rank() int {
	r := 0
	for _, q := range c.peers {
		if q.Label < c.cfg.Label {
			r++
		}
	}
	return r
}

// claim takes a part, or raises the token of one already mine.
func (c *Core) claim(p *part) {
	value, _ := json.Marshal(partValue{c.cfg.Label})
	p.claiming = true
	again := p.mine
	t := Txn{Guards: []Guard{{p.key(), p.stamp}}, Apply: []Set{{p.key(), value, c.lease}}}
	if again {
		p.committing = true
	}
	c.commit(t, true, func(res CommitResult) {
		p.claiming = false
		if again {
			p.committing = false
		}
		switch {
		case res.Outcome == OK:
			c.claimed(p, res.Revision, again)
			return
		case again && res.Outcome == NotSent:
			p.reclaimAt = c.now + time.Second // mine as before
			return
		case res.Outcome == Refused && res.NoLease:
			c.lease = 0
		}
		// Lost race, or nobody can tell: read what holds.
		if again {
			c.lose(p, "claim not confirmed")
		}
		p.known = false
		p.retryAt = c.now + 200*time.Millisecond
		c.rereadPart(p)
	})
}

func (c *Core) rereadPart(p *part) {
	c.read(p.key(), true, func(res ReadResult) {
		if res.Outcome != OK {
			p.retryAt = c.now + 500*time.Millisecond
			c.partsView.loaded = false // the next listing settles it
			return
		}
		if p.mine || p.claiming {
			return
		}
		if !res.Found {
			p.owner, p.stamp, p.known = "", 0, true
			p.freeSince = c.now
			return
		}
		p.known = true
		c.partSeen(p, res.Item.Value, res.Item.Stamp)
	})
}

func (c *Core) claimed(p *part, revision uint64, again bool) {
	p.mine, p.known, p.offered = true, true, false
	p.owner, p.stamp, p.token, p.freeSince = c.cfg.Label, revision, revision, 0
	if !again {
		p.tenure = revision // all else of a part not owned is as newPart made it
		p.heardAt, p.blindAt = c.now, c.now
		p.used = make([]Amount, len(c.limits))
		p.committing = false
		c.listAt = 0
		for _, q := range c.quotas {
			q.need, q.needAt = true, c.now
		}
	}
	c.note(1, "part claimed", "part", p.name, "token", p.token, "again", again)
	for _, h := range p.hostList() {
		h.greetAt = 0
	}
	if !again {
		c.load(p)
	}
}

// load reads the part's slices and learns their jobs. A slice holds the job as
// it was when it was written; whether that still stands is compared for many
// jobs at once, and only those that have changed are read.
func (c *Core) load(p *part) {
	p.loading = true
	tenure := p.tenure
	valid := func() bool { return p.mine && p.tenure == tenure }
	c.call(ListOp{"slice/" + p.name + "/"}, func(r any) {
		if !valid() {
			return
		}
		again := func(d time.Duration) {
			c.after(d, func() {
				if valid() {
					p.loading = false
				}
			})
		}
		res := r.(ListResult)
		if res.Outcome != OK {
			again(300 * time.Millisecond)
			return
		}
		for _, it := range res.Items {
			// Taken for empty, its tasks would count for nobody and start again.
			if json.Unmarshal(it.Value, &sliceValue{}) != nil {
				c.note(2, "slice unreadable, part not served", "key", it.Key, "part", p.name, "token", p.token)
				again(5 * time.Second)
				return
			}
		}
		left := len(res.Items)
		done := func() {
			if left--; left > 0 {
				return
			}
			p.loading, p.loaded, p.replan, p.loadedAt = false, true, true, c.now
			p.freshStart = len(res.Items) == 0
			// Jobs that came after the listing, and were heard of before this.
			for _, id := range sorted(c.jobs) {
				if _, here := c.jobs[id].split[p.name]; here && p.slices[id] == nil {
					c.readSlice(p, id)
				}
			}
			c.note(1, "part loaded", "part", p.name, "token", p.token, "slices", len(p.slices))
		}
		items, stamps := map[string]Item{}, map[string]uint64{}
		jobs := map[string][]byte{}
		var told, unknown []string
		for _, it := range res.Items {
			id := it.Key[strings.LastIndexByte(it.Key, '/')+1:]
			items[id] = it
			var v sliceValue
			if _ = json.Unmarshal(it.Value, &v); v.Job == nil {
				unknown = append(unknown, id)
				continue
			}
			stamps[id] = v.Stamp
			if v.Stamp == 0 {
				stamps[id] = it.Stamp
			}
			jobs[id], _ = json.Marshal(v.Job)
			told = append(told, id)
		}
		read := func(id string) {
			c.readSurely("job/"+id, valid, func(jr ReadResult) {
				if jr.Found {
					c.adoptLoaded(p, id, jr.Item.Value, jr.Item.Stamp, items[id])
				}
				done()
			})
		}
		if len(res.Items) == 0 {
			left = 1
			done()
			return
		}
		for _, id := range unknown {
			read(id)
		}
		c.compareJobs(told, stamps, valid, func(id string) {
			c.adoptLoaded(p, id, jobs[id], stamps[id], items[id])
			done()
		}, read)
	})
}

// adoptLoaded takes up a slice together with its job as they were found when
// the part was loaded.
func (c *Core) adoptLoaded(p *part, id string, value []byte, stamp uint64, it Item) {
	if j := c.learnJob(id, value, stamp); j != nil {
		c.adoptSliceOf(p, j, it.Value, it.Stamp)
	} else if s, over := c.final[id]; over {
		var v jobValue
		_ = json.Unmarshal(value, &v) // at worst the job has no team
		j := c.newJob(id, v.Spec, stamp)
		j.standing = s
		c.adoptSliceOf(p, j, it.Value, it.Stamp)
	}
}

// maybeHandOver hands a part to its home controller once that one is steadily
// back. The old owner stops first, then drops the key.
func (c *Core) maybeHandOver(p *part) {
	mine, home := c.homeOf(p)
	if !p.loaded || p.committing || p.claiming || p.handingOver {
		return
	}
	if to := c.heardBy(p); to != nil {
		c.cutOffUntil = c.now + cutOffFor
		c.handOver(p, to, "its workers are heard elsewhere only")
		return
	}
	if mine || len(p.refreshing) > 0 {
		return
	}
	if home == nil {
		if to := c.lessLoaded(p); to != nil {
			c.handOver(p, to, "it owns fewer")
		}
		return
	}
	if !home.well(c.now) {
		p.homeUp = 0
		return
	}
	if p.homeUp == 0 {
		p.homeUp = c.now
	}
	if c.now >= p.homeUp+steadily {
		c.handOver(p, home, "its home is back")
	}
}

// steadily is how long a controller must have been well to be handed a part.
const steadily = 5 * time.Second

// well says whether another controller is heard, reaches the state service and hears workers.
func (q *peer) well(now time.Duration) bool {
	return now < q.heard+1500*time.Millisecond && q.gossip != nil && q.gossip.StoreOK && !q.gossip.CutOff
}

// lessLoaded names the controller that owns at least two parts fewer than this one, if
// there is any, for a part of a zone without a controller. Such a part has no home to go
// back to: after the others had ended for a while, one controller kept the machines of
// all zones for ever, more than it could serve.
func (c *Core) lessLoaded(p *part) *peer {
	if c.now < p.loadedAt+2*steadily {
		return nil
	}
	owned, handingOver := 0, false
	owns := map[string]int{}
	for _, q := range c.parts {
		if q.mine || q.claiming {
			owned++
			handingOver = handingOver || q.handingOver
		} else {
			owns[q.owner]++
		}
	}
	var best *peer
	for _, q := range c.peers {
		if q.well(c.now) && c.now > q.bootAt+steadily && owns[q.Label]+2 <= owned && (best == nil || owns[q.Label] < owns[best.Label]) {
			best = q
		}
	}
	if handingOver {
		return nil // one after the other
	}
	return best
}

// dark says whether this controller looks after another zone's part of which it
// hears nobody, as when that zone is cut off: work that waits there would wait for
// the cut to end.
func (c *Core) dark(p *part) bool {
	if mine, _ := c.homeOf(p); mine || !p.mine {
		return false
	}
	return c.now > p.heardAt+max(c.cfg.Report*3, 10*time.Second) && (c.shouldReport(p) >= 3 || p.wasDark)
}

// shouldReport counts the part's machines that would be heard here if it were not
// dark: those that boot say nothing, however long that takes on their type.
func (c *Core) shouldReport(p *part) int {
	n := 0
	for _, h := range p.hosts {
		if h.state == up || h.state == booting && c.now > h.eta+c.cfg.Report {
			n++
		}
	}
	return n
}

// cutOffFor is how long a controller that gave a part up for not hearing its
// workers is not given one back.
const cutOffFor = time.Minute

// heardBy names the controller that hears the part's workers while this one,
// though it reaches the state service, hears none of them.
func (c *Core) heardBy(p *part) *peer {
	if c.now < p.loadedAt+max(10*time.Second, c.deafAfter()) {
		return nil
	}
	workers := 0
	for _, h := range p.hostList() {
		if h.state == up {
			workers++
			if c.silence(h) < c.deafAfter() {
				return nil
			}
		}
	}
	for _, q := range c.peers {
		if workers > 1 && c.now < q.gossipAt+1500*time.Millisecond && q.gossip != nil && q.gossip.StoreOK &&
			!q.gossip.CutOff && q.gossip.Heard[p.name] > 0 {
			return q
		}
	}
	return nil
}

// handOver lays a part down: stop first, then drop the key, then tell who should
// take it.
func (c *Core) handOver(p *part, to *peer, why string) {
	p.handingOver = true
	c.note(1, "part handed over", "part", p.name, "token", p.token, "to", to.Label, "why", why)
	name := p.name
	c.commit(Txn{Guards: []Guard{{p.key(), p.stamp}}, Apply: []Set{{Key: p.key()}}}, true, func(CommitResult) {
		// Whatever the answer, the office is laid down; the key is read again.
		c.lose(p, "handed over")
		for i, q := range c.peers {
			if q == to {
				c.emit(Tell{i, Message{Boot: c.cfg.Boot, Freed: []string{name}}})
			}
		}
		p.retryAt = c.now + c.cfg.Knobs.Grace + 2*time.Second
		c.rereadPart(p)
	})
}

// storeWell says whether the state service answered lately.
func (c *Core) storeWell() bool {
	return c.storeSeen && c.now < c.storeOK+4*time.Second
}

// fresh is the moment up to which every accepted withdrawal is known here:
// by my own view of job/, or by the word of all other controllers: whom users
// can ask to withdraw is nobody else.
func (c *Core) fresh() (time.Duration, bool) {
	own := c.jobsView.fresh
	if !c.jobsView.started {
		return own, false
	}
	vouched := c.now
	for _, p := range c.peers {
		// A life of it that began after my own view ended can't speak for what
		// the one before had told users.
		if p.bootAt > own {
			return own, true
		}
		vouched = min(vouched, p.vouched)
	}
	return max(own, vouched), true
}

// mayStart says whether work may be started: only while withdrawals arrive.
func (c *Core) mayStart() bool {
	f, ok := c.fresh()
	return ok && c.now < f+c.startFor()
}

// mayAnswer says whether workers may still be answered, see AnswerFor.
func (c *Core) mayAnswer() bool {
	f, ok := c.fresh()
	return ok && c.now < f+AnswerFor(c.cfg.Lease, c.cfg.Cancel)
}

// knowsWithdrawn says whether the part's workers can be told which of their tasks are
// withdrawn. The slices tell; without them only what became known here does. A task
// that was there when the part was claimed had been answered within lease_s before,
// by an owner that knew all withdrawals up to a moment as mayAnswer demands; those
// since then must be known here.
func (c *Core) knowsWithdrawn(p *part) bool {
	return p.loaded || c.jobsView.since+c.cfg.Cancel < p.blindAt
}
