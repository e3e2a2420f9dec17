package core

import (
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"slices"
	"strings"
	"time"
)

// Shard is one zone's machines. Whoever holds its key in the state service
// owns it; the revision of that claim is the fencing token.
type Shard struct {
	zone int
	name string

	recordKnown     bool   // the store's view of the key has been read
	owner           string // by the store's view; empty when free
	revision        uint64
	freeSince       time.Duration
	removedRevision uint64 // revision at which the key was last seen gone
	offered         bool   // its last owner named this controller

	owned         bool
	token         uint64
	term          uint64 // first token of my unbroken ownership
	claiming      bool
	handingOver   bool // told to stop: commit nothing, answer nobody
	loading       bool
	loaded        bool
	unloadedSince time.Duration // since when its slices are not known, if not loaded
	// What a new owner knows of its machines.
	hostsListed     bool          // the cloud's list of a moment after the claim has been read
	startedEmpty    bool          // there was no work yet
	lastHeartbeatAt time.Duration // when any of its workers was last heard here
	hadNoHeartbeats bool

	homeWellSince time.Duration // since when the home controller is seen well

	hosts             map[string]*Host
	hostsByName       []*Host                  // the same by name
	hostsWithCommands []*Host                  // hosts with orders
	returnedHosts     map[string]time.Duration // machines whose return was confirmed
	assignments       map[string]*Assignment
	dirty             map[string]*Assignment
	completions       []*completion            // jobs of several parts to be set done
	recordBy          map[string]time.Duration // slices with ends to record by then
	teamUsage         []model.Resources        // by team

	txnPending    bool
	unknownKeys   map[string]bool
	needsPlan     bool
	nextSweepAt   time.Duration
	nextPlanAt    time.Duration // no plan before then: planning leaves room for the rest
	nextSizingAt  time.Duration
	slownessSum   float64 // of machines judged by their run times
	slownessCount int
	retryAt       time.Duration
	raiseTokenAt  time.Duration // when a raised token is due, 0 for never

	rentalSeq      int
	rentals        []*rental
	exhaustedUntil map[MachineKind]time.Duration
	demandSamples  []demandSample // of work that is no backfill
	// When this ownership saw its first demand.
	demandFrom     time.Duration
	reserve        backfillReserve
	backfillRoom   []float64 // what backfill may take, by pool, as of backfillAt
	backfillRoomAt time.Duration
	unplaced       []unplacedWork
	exports        map[string]taskExport // by job
	loadedAt       time.Duration
	nextLoadLogAt  time.Duration // when the load is logged next

	movePending   bool // tasks are on their way to another part
	nextMoveAt    time.Duration
	view          *ShardView // by the owner's gossip
	viewAt        time.Duration
	devices       []device // the view as the programme sees it
	devicesAt     time.Duration
	backlog       []Backlog // of a part owned here, as of queueAt
	backlogAt     time.Duration
	distributions []distribution // from here, lately
}

func newShard(zone int, name string) *Shard {
	return &Shard{zone: zone, name: name, hosts: map[string]*Host{}, returnedHosts: map[string]time.Duration{},
		assignments: map[string]*Assignment{}, dirty: map[string]*Assignment{}, recordBy: map[string]time.Duration{}, exhaustedUntil: map[MachineKind]time.Duration{},
		unknownKeys: map[string]bool{}, exports: map[string]taskExport{}}
}

func (s *Shard) key() string { return records.ShardKey(s.name) }

// maintainLease holds this controller's lease at the state service.
func (c *Core) maintainLease() {
	if c.leasePending || c.now < c.leaseRetryAt {
		return
	}
	sent := c.now
	if c.leaseID == 0 {
		c.leasePending = true
		call(c, GrantLease{c.cfg.Tuning.LeaseTTL}, func(res LeaseResult) {
			c.leasePending = false
			c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
			if res.Outcome != OutcomeOK {
				c.leaseRetryAt = c.now + retryLeaseGrant
				return
			}
			c.leaseID, c.leaseRenewedAt = res.Lease, sent
		})
		return
	}
	if c.now < c.leaseRenewedAt+c.cfg.Tuning.LeaseTTL/4 {
		return
	}
	c.leasePending = true
	lease := c.leaseID
	call(c, RenewLease{lease}, func(res RenewResult) {
		c.leasePending = false
		c.recordStoreOutcome(sent, res.Outcome == OutcomeOK || res.Outcome == OutcomeRefused)
		switch res.Outcome {
		case OutcomeOK:
			c.leaseRenewedAt = sent
		case OutcomeRefused:
			// The lease has ended and with it the keys of my parts. Another
			// controller may have held them since.
			c.warn("lease ended", "lease", lease)
			c.leaseID = 0
			for _, shard := range c.shards {
				if shard.owned {
					c.loseShard(shard, "lease ended")
				}
				shard.recordKnown = false
			}
			c.shardWatch.loaded = false
		default:
			c.leaseRetryAt = c.now + retryStoreCall
		}
	})
}

// watch keeps a view of a prefix: a listing first, then its changes. The
// view is complete up to the moment the last answered call was sent; a call
// that is still open proves nothing.
func (c *Core) watch(watch *watchState) {
	if watch.pending || c.now < watch.nextCallAt {
		return
	}
	watch.pending = true
	sent := c.now
	if !watch.loaded {
		// The jobs' view starts at the present; whatever this controller needs
		// of the past it reads key by key.
		call(c, ListKeys{records.ShardPrefix}, func(res ListResult) {
			watch.pending = false
			c.recordStoreOutcome(sent, res.Outcome == OutcomeOK)
			if res.Outcome != OutcomeOK {
				watch.nextCallAt = c.now + retryStoreCall
				return
			}
			watch.loaded, watch.revision, watch.knownUntil, watch.knownFrom, watch.hasData = true, res.Revision, sent, sent, true
			if watch == &c.shardWatch {
				c.applyShardList(res.Items)
			} else {
				c.rereadUnfinishedJobs()
				for _, shard := range c.shards {
					if shard.loaded {
						shard.loaded, shard.unloadedSince = false, c.now // its slices are listed again
					}
				}
			}
		})
		return
	}
	call(c, WatchKeys{watch.prefix, watch.revision, c.watchTimeout(watch)}, func(res WatchResult) {
		watch.pending = false
		switch res.Outcome {
		case OutcomeOK:
			watch.revision = max(watch.revision, res.Revision)
			for _, n := range res.Changes {
				c.applyChange(n)
			}
			watch.knownUntil = sent
			c.recordStoreOutcome(sent, true)
			if len(res.Changes) > 0 {
				watch.nextCallAt = c.now + c.watchPause(watch) // with many jobs each look would bring some
			}
		case OutcomeRefused:
			c.recordStoreOutcome(sent, true)
			watch.loaded = false
		default:
			c.recordStoreOutcome(sent, false)
			watch.nextCallAt = c.now + retryStoreCall
		}
	})
}

func (c *Core) applyChange(n Item) {
	switch key := records.ParseKey(n.Key); {
	case key.Kind == records.KindShard:
		c.applyShardRecord(c.shards[c.zoneIndex(key.Zone)], n.Value, n.Revision)
	case key.Kind == records.KindJob && n.Value != nil:
		c.applyJobRecord(key.Job, n.Value, n.Revision)
	}
}

func (c *Core) applyShardList(items []Item) {
	seen := map[string]bool{}
	for _, it := range items {
		zone := records.ParseKey(it.Key).Zone
		seen[zone] = true
		c.applyShardRecord(c.shards[c.zoneIndex(zone)], it.Value, it.Revision)
	}
	for _, shard := range c.shards {
		if !seen[shard.name] && !shard.claiming {
			c.applyShardRecord(shard, nil, c.shardWatch.revision)
		}
	}
}

// applyShardRecord applies what the store says of a part. A deletion carries the
// revision of the deletion.
func (c *Core) applyShardRecord(shard *Shard, value []byte, revision uint64) {
	if revision < shard.revision || shard.claiming {
		return
	}
	if value == nil {
		if shard.owned && revision > shard.token {
			c.loseShard(shard, "key removed")
		}
		if shard.owned {
			return
		}
		shard.recordKnown, shard.removedRevision = true, max(shard.removedRevision, revision)
		if shard.owner != "" || shard.freeSince == 0 {
			shard.freeSince = c.now
		}
		shard.owner, shard.revision = "", 0
		return
	}
	v, err := records.DecodeShard(value)
	if err != nil {
		return
	}
	if shard.owned && revision > shard.token {
		c.loseShard(shard, "claimed by "+v.Owner)
	}
	shard.recordKnown, shard.owner, shard.revision, shard.freeSince = true, v.Owner, revision, 0
}

// loseShard ends ownership at once.
func (c *Core) loseShard(shard *Shard, why string) {
	c.warn("part lost", "part", shard.name, "token", shard.token, "why", why)
	fresh := newShard(shard.zone, shard.name)
	fresh.rentalSeq = shard.rentalSeq
	*shard = *fresh
}

// maintainShards claims free parts and hands parts home.
func (c *Core) maintainShards() {
	if c.leaseID == 0 || !c.storeReachable() {
		return
	}
	for _, shard := range c.shards {
		switch {
		case shard.owned:
			c.maybeHandOver(shard)
			if !shard.loaded && !shard.loading {
				c.loadShard(shard)
			}
			if shard.raiseTokenAt > 0 && c.now >= shard.raiseTokenAt && shard.loaded && !shard.txnPending && !shard.handingOver {
				shard.raiseTokenAt = 0
				if slices.ContainsFunc(shard.hostList(), func(h *Host) bool { return c.cancelledLaunchInFlight(shard, h) }) {
					c.claimShard(shard)
				}
			}
		case !shard.recordKnown || shard.claiming || c.now < shard.retryAt:
		case shard.owner == c.cfg.Label:
			// My own key from an earlier life: take it up again with a new
			// revision, so that nothing the earlier life sent counts.
			c.claimShard(shard)
		case shard.owner == "" && c.now >= shard.freeSince+c.claimDelay(shard):
			c.claimShard(shard)
		}
	}
}

// home says whether a controller's own zone is the part's.
func (c *Core) homeController(shard *Shard) (mine bool, other *Peer) {
	if c.cfg.Zone == shard.name {
		return true, nil
	}
	for _, peer := range c.peers {
		if peer.Zone == shard.name {
			return false, peer
		}
	}
	return false, nil
}

// A home controller not heard for homeSilent stands in nobody's way for longer than
// noHome.
const (
	homeSilentAfter = 2 * time.Second
	noHomeDelay     = 300 * time.Millisecond
)

// claimDelay is how long a free part is left to controllers with a better
// reason to take it: its home first, then whoever owns the fewest.
func (c *Core) claimDelay(shard *Shard) time.Duration {
	if mine, _ := c.homeController(shard); mine && c.now >= c.isolatedUntil || shard.offered {
		return 0
	}
	owned := 0
	for _, other := range c.shards {
		if other.owned || other.claiming {
			owned++
		}
	}
	grace := c.cfg.Tuning.TakeoverDelay
	if _, home := c.homeController(shard); home == nil || c.now > home.lastHeardAt+homeSilentAfter {
		grace = min(grace, noHomeDelay) // nobody to wait for, and its workers' leases run
	}
	return grace + time.Duration(owned)*700*time.Millisecond + time.Duration(c.claimRank())*200*time.Millisecond
}

func (c *Core) claimRank() int {
	r := 0
	for _, peer := range c.peers {
		if peer.Label < c.cfg.Label {
			r++
		}
	}
	return r
}

// claimShard takes a part, or raises the token of one already mine.
func (c *Core) claimShard(shard *Shard) {
	value := records.Shard{Owner: c.cfg.Label}.Encode()
	shard.claiming = true
	again := shard.owned
	t := Txn{Conditions: []Condition{{shard.key(), shard.revision}}, Mutations: []Mutation{{shard.key(), value, c.leaseID}}}
	if again {
		shard.txnPending = true
	}
	c.commit(t, true, func(res CommitResult) {
		shard.claiming = false
		if again {
			shard.txnPending = false
		}
		switch {
		case res.Outcome == OutcomeOK:
			c.onShardClaimed(shard, res.Revision, again)
			return
		case again && res.Outcome == OutcomeNotSent:
			shard.raiseTokenAt = c.now + time.Second // mine as before
			return
		case res.Outcome == OutcomeRefused && res.LeaseExpired:
			c.leaseID = 0
		}
		// Lost race, or nobody can tell: read what holds.
		if again {
			c.loseShard(shard, "claim not confirmed")
		}
		shard.recordKnown = false
		shard.retryAt = c.now + retryClaim
		c.rereadShard(shard)
	})
}

func (c *Core) rereadShard(shard *Shard) {
	c.readKey(shard.key(), true, func(res ReadResult) {
		if res.Outcome != OutcomeOK {
			shard.retryAt = c.now + retryShardRead
			c.shardWatch.loaded = false // the next listing settles it
			return
		}
		if shard.owned || shard.claiming {
			return
		}
		if !res.Found {
			shard.owner, shard.revision, shard.recordKnown = "", 0, true
			shard.freeSince = c.now
			return
		}
		shard.recordKnown = true
		c.applyShardRecord(shard, res.Item.Value, res.Item.Revision)
	})
}

func (c *Core) onShardClaimed(shard *Shard, revision uint64, again bool) {
	shard.owned, shard.recordKnown, shard.offered = true, true, false
	shard.owner, shard.revision, shard.token, shard.freeSince = c.cfg.Label, revision, revision, 0
	if !again {
		shard.term = revision // all else of a part not owned is as newPart made it
		shard.lastHeartbeatAt, shard.unloadedSince = c.now, c.now
		shard.teamUsage = make([]model.Resources, len(c.teamConfigs))
		shard.txnPending = false
		c.nextListAt = 0
		for _, q := range c.quotas {
			q.mustReread, q.rereadAfter = true, c.now
		}
	}
	c.info("part claimed", "part", shard.name, "token", shard.token, "again", again)
	for _, h := range shard.hostList() {
		h.nextProbeAt = 0
	}
	if !again {
		c.loadShard(shard)
	}
}

// loadShard reads the part's slices and learns their jobs. A slice holds the job as
// it was when it was written; whether that still stands is compared for many
// jobs at once, and only those that have changed are read.
func (c *Core) loadShard(shard *Shard) {
	shard.loading = true
	term := shard.term
	valid := func() bool { return shard.owned && shard.term == term }
	call(c, ListKeys{records.AssignmentPrefix(shard.name)}, func(res ListResult) {
		if !valid() {
			return
		}
		again := func(d time.Duration) {
			c.after(d, func() {
				if valid() {
					shard.loading = false
				}
			})
		}
		if res.Outcome != OutcomeOK {
			again(retryStoreCall)
			return
		}
		for _, it := range res.Items {
			// Taken for empty, its tasks would count for nobody and start again.
			if _, err := records.DecodeAssignment(it.Value); err != nil {
				c.warn("slice unreadable, part not served", "key", it.Key, "part", shard.name, "token", shard.token)
				again(retryUnreadable)
				return
			}
		}
		left := len(res.Items)
		done := func() {
			if left--; left > 0 {
				return
			}
			shard.loading, shard.loaded, shard.needsPlan, shard.loadedAt = false, true, true, c.now
			shard.startedEmpty = len(res.Items) == 0
			// Jobs that came after the listing, and were heard of before this.
			for _, id := range sorted(c.jobs) {
				if _, here := c.jobs[id].split[shard.name]; here && shard.assignments[id] == nil {
					c.readAssignment(shard, id)
				}
			}
			c.info("part loaded", "part", shard.name, "token", shard.token, "slices", len(shard.assignments))
		}
		items, revisions := map[string]Item{}, map[string]uint64{}
		jobs := map[string][]byte{}
		var told, unknown []string
		for _, it := range res.Items {
			id := it.Key[strings.LastIndexByte(it.Key, '/')+1:]
			items[id] = it
			v, _ := records.DecodeAssignment(it.Value) // readable, as was seen above
			if v.Job == nil {
				unknown = append(unknown, id)
				continue
			}
			revisions[id] = v.JobRevision
			if v.JobRevision == 0 {
				revisions[id] = it.Revision
			}
			jobs[id] = v.Job.Encode()
			told = append(told, id)
		}
		read := func(id string) {
			c.readUntilAnswered(records.JobKey(id), valid, func(jobResult ReadResult) {
				if jobResult.Found {
					c.restoreAssignment(shard, id, jobResult.Item.Value, jobResult.Item.Revision, items[id])
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
		c.compareAllRevisions(told, revisions, valid, func(id string) {
			c.restoreAssignment(shard, id, jobs[id], revisions[id], items[id])
			done()
		}, read)
	})
}

// restoreAssignment takes up a slice together with its job as they were found when
// the part was loaded.
func (c *Core) restoreAssignment(shard *Shard, id string, value []byte, revision uint64, it Item) {
	if job := c.applyJobRecord(id, value, revision); job != nil {
		c.adoptAssignmentOf(shard, job, it.Value, it.Revision)
	} else if s, over := c.finished[id]; over {
		v, _ := records.DecodeJob(value) // at worst the job has no team
		job := c.newJob(id, v.Spec, revision)
		job.state = s
		c.adoptAssignmentOf(shard, job, it.Value, it.Revision)
	}
}

// maybeHandOver hands a part to its home controller once that one is steadily
// back. The old owner stops first, then drops the key.
func (c *Core) maybeHandOver(shard *Shard) {
	mine, home := c.homeController(shard)
	if !shard.loaded || shard.txnPending || shard.claiming || shard.handingOver {
		return
	}
	if to := c.peerHearingWorkers(shard); to != nil {
		c.isolatedUntil = c.now + isolatedFor
		c.handOver(shard, to, "its workers are heard elsewhere only")
		return
	}
	if mine || len(shard.unknownKeys) > 0 {
		return
	}
	if home == nil {
		if to := c.lessLoadedPeer(shard); to != nil {
			c.handOver(shard, to, "it owns fewer")
		}
		return
	}
	if !home.isWell(c.now) {
		shard.homeWellSince = 0
		return
	}
	if shard.homeWellSince == 0 {
		shard.homeWellSince = c.now
	}
	if c.now >= shard.homeWellSince+steadyFor {
		c.handOver(shard, home, "its home is back")
	}
}

// steadyFor is how long a controller must have been well to be handed a part.
const steadyFor = 5 * time.Second

// isWell says whether another controller is heard, reaches the state service and hears workers.
func (p *Peer) isWell(now time.Duration) bool {
	return now < p.lastHeardAt+1500*time.Millisecond && p.gossip != nil && p.gossip.StoreOK && !p.gossip.Isolated
}

// lessLoadedPeer names the controller that owns at least two parts fewer than this one, if
// there is any, for a part of a zone without a controller. Such a part has no home to go
// back to: after the others had ended for a while, one controller kept the machines of
// all zones for ever, more than it could serve.
func (c *Core) lessLoadedPeer(shard *Shard) *Peer {
	if c.now < shard.loadedAt+2*steadyFor {
		return nil
	}
	owned, handingOver := 0, false
	owns := map[string]int{}
	for _, other := range c.shards {
		if other.owned || other.claiming {
			owned++
			handingOver = handingOver || other.handingOver
		} else {
			owns[other.owner]++
		}
	}
	var best *Peer
	for _, peer := range c.peers {
		if peer.isWell(c.now) && c.now > peer.epochSince+steadyFor && owns[peer.Label]+2 <= owned && (best == nil || owns[peer.Label] < owns[best.Label]) {
			best = peer
		}
	}
	if handingOver {
		return nil // one after the other
	}
	return best
}

// noHeartbeats says whether this controller looks after another zone's part of which it
// hears nobody, as when that zone is cut off: work that waits there would wait for
// the cut to end.
func (c *Core) noHeartbeats(shard *Shard) bool {
	if mine, _ := c.homeController(shard); mine || !shard.owned {
		return false
	}
	return c.now > shard.lastHeartbeatAt+max(c.cfg.HeartbeatInterval*3, 10*time.Second) && (c.expectedReporters(shard) >= 3 || shard.hadNoHeartbeats)
}

// expectedReporters counts the part's machines that would be heard here if it were not
// dark: those that boot say nothing, however long that takes on their type.
func (c *Core) expectedReporters(shard *Shard) int {
	n := 0
	for _, host := range shard.hosts {
		if host.state == hostUp || host.state == hostBooting && c.now > host.expectedUpAt+c.cfg.HeartbeatInterval {
			n++
		}
	}
	return n
}

// isolatedFor is how long a controller that gave a part up for not hearing its
// workers is not given one back.
const isolatedFor = time.Minute

// peerHearingWorkers names the controller that hears the part's workers while this one,
// though it reaches the state service, hears none of them.
func (c *Core) peerHearingWorkers(shard *Shard) *Peer {
	if c.now < shard.loadedAt+max(10*time.Second, c.isolationTimeout()) {
		return nil
	}
	workers := 0
	for _, host := range shard.hostList() {
		if host.state == hostUp {
			workers++
			if c.silentFor(host) < c.isolationTimeout() {
				return nil
			}
		}
	}
	for _, peer := range c.peers {
		if workers > 1 && c.now < peer.gossipAt+1500*time.Millisecond && peer.gossip != nil && peer.gossip.StoreOK &&
			!peer.gossip.Isolated && peer.gossip.WorkersHeard[shard.name] > 0 {
			return peer
		}
	}
	return nil
}

// handOver lays a part down: stop first, then drop the key, then tell who should
// take it.
func (c *Core) handOver(shard *Shard, to *Peer, why string) {
	shard.handingOver = true
	c.info("part handed over", "part", shard.name, "token", shard.token, "to", to.Label, "why", why)
	name := shard.name
	c.commit(Txn{Conditions: []Condition{{shard.key(), shard.revision}}, Mutations: []Mutation{{Key: shard.key()}}}, true, func(CommitResult) {
		// Whatever the answer, the office is laid down; the key is read again.
		c.loseShard(shard, "handed over")
		for i, peer := range c.peers {
			if peer == to {
				c.emit(SendToPeer{i, Message{Epoch: c.cfg.Epoch, ReleasedShards: []string{name}}})
			}
		}
		shard.retryAt = c.now + c.cfg.Tuning.TakeoverDelay + reclaimAfterHandover
		c.rereadShard(shard)
	})
}

// storeReachable says whether the state service answered lately.
func (c *Core) storeReachable() bool {
	return c.storeSeen && c.now < c.storeOKAt+4*time.Second
}

// cancellationsKnownUntil is the moment up to which every accepted withdrawal is known here:
// by my own view of job/, or by the word of all other controllers: whom users
// can ask to withdraw is nobody else.
func (c *Core) cancellationsKnownUntil() (time.Duration, bool) {
	own := c.jobWatch.knownUntil
	if !c.jobWatch.hasData {
		return own, false
	}
	confirmed := c.now
	for _, peer := range c.peers {
		// A life of it that began after my own view ended can't speak for what
		// the one before had told users.
		if peer.epochSince > own {
			return own, true
		}
		confirmed = min(confirmed, peer.confirmedUntil)
	}
	return max(own, confirmed), true
}

// mayStartTasks says whether work may be started: only while withdrawals arrive.
func (c *Core) mayStartTasks() bool {
	f, ok := c.cancellationsKnownUntil()
	return ok && c.now < f+c.startWindow()
}

// mayAnswerWorkers says whether workers may still be answered, see AnswerFor.
func (c *Core) mayAnswerWorkers() bool {
	f, ok := c.cancellationsKnownUntil()
	return ok && c.now < f+AnswerWindow(c.cfg.WorkerLease, c.cfg.CancelWithin)
}

// knowsCancellations says whether the part's workers can be told which of their tasks are
// withdrawn. The slices tell; without them only what became known here does. A task
// that was there when the part was claimed had been answered within lease_s before,
// by an owner that knew all withdrawals up to a moment as mayAnswer demands; those
// since then must be known here.
func (c *Core) knowsCancellations(p *Shard) bool {
	return p.loaded || c.jobWatch.knownFrom+c.cfg.CancelWithin < p.unloadedSince
}
