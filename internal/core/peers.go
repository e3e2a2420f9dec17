package core

import (
	"math"
	"roadcleat/internal/model"
	"roadcleat/internal/records"
	"slices"
	"time"
)

// Peer is another controller as seen from here.
type Peer struct {
	PeerConfig
	index       int // in Config.Peers
	epoch       uint64
	lastHeardAt time.Duration
	gossip      *Gossip
	gossipAt    time.Duration
}

func (c *Core) peer(label string) *Peer {
	for _, peer := range c.peers {
		if peer.Label == label {
			return peer
		}
	}
	return nil
}

func (c *Core) broadcast(m Message) {
	m.Epoch = c.cfg.Epoch
	for i := range c.peers {
		c.emit(SendToPeer{i, m})
	}
}

// handlePeerMessage takes a message of another controller.
func (c *Core) handlePeerMessage(from int, m Message) {
	peer := c.peers[from]
	if peer.epoch != m.Epoch {
		peer.epoch = m.Epoch
		c.confirmations.NewEpoch(from, c.now)
	}
	peer.lastHeardAt = c.now
	for _, it := range m.Jobs {
		c.applyJobRecord(records.ParseKey(it.Key).Job, it.Value, it.Revision)
	}
	for _, it := range m.Assignments {
		key := records.ParseKey(it.Key)
		if key.Kind != records.KindAssignment {
			continue
		}
		z := c.zones.lookup(key.Zone)
		if z < 0 || !c.shards[z].servedHere() {
			continue
		}
		if job := c.jobs[key.Job]; job != nil && it.Revision < job.revision {
			// Every move changes the job as well, so tasks have moved since. A message
			// that a cut held back once restored an assignment that had been deleted, and
			// its task ran twice.
			c.readAssignment(c.shards[z], key.Job)
			continue
		}
		c.applyAssignmentRecord(c.shards[z], key.Job, it.Value, it.Revision)
	}
	for _, zone := range m.ReleasedShards {
		if z := c.zones.lookup(zone); z >= 0 && !c.shards[z].claim.Owned() && !c.shards[z].claim.Pending() {
			c.shards[z].claim.Offer()
			c.rereadShard(c.shards[z])
		}
	}
	for _, it := range m.Quotas {
		if t := c.teams.lookup(records.ParseKey(it.Key).Team); t >= 0 {
			c.applyQuotaRecord(c.quotas[t], true, it.Value, it.Revision)
		}
	}
	for _, ask := range m.GrantRequests {
		if t := c.teams.lookup(ask.Team); t >= 0 {
			c.quotas[t].requests[from] = receivedRequest{ask, c.now}
			for _, other := range c.shards {
				if other.servedHere() {
					c.releaseGrant(other, t, true)
				}
			}
		}
	}
	if m.Gossip != nil {
		c.applyGossip(peer, m.Gossip)
	}
}

func (c *Core) applyGossip(peer *Peer, g *Gossip) {
	peer.gossip, peer.gossipAt = g, c.now
	for _, it := range g.Cancellations {
		c.applyJobRecord(records.ParseKey(it.Key).Job, it.Value, it.Revision)
	}
	// What it wrote after it had heard my gossip holds, together with what came
	// before, all withdrawals that it had told anybody of by the time I sent that;
	// packets may be held for long. Not so if I missed it for longer than it repeats
	// withdrawals.
	c.confirmations.Received(peer.index, g.Received[c.cfg.Label], c.jobWatch.view, c.now, c.cfg.CancelWithin)
	for i := range g.Shards {
		v := &g.Shards[i]
		z := c.zoneIndex(v.Zone)
		other := c.shards[z]
		if other.claim.Owned() {
			if v.Token > other.claim.Token() {
				c.loseShard(other, "a peer shows a higher token")
				c.shardWatch.loaded = false
			}
			continue
		}
		if other.view != nil && other.view.Token > v.Token {
			continue
		}
		other.view, other.viewAt, other.devices = v, c.now, nil
		other.claim.ObserveGossip(peer.Label, v.Token)
		c.jobCounts[v.Zone] = v.Jobs
	}
}

// sendGossip tells the others what this controller owns and sees.
func (c *Core) sendGossip() {
	if c.now < c.nextGossipAt {
		return
	}
	c.nextGossipAt = c.now + 500*time.Millisecond
	c.gossipSeq++
	c.confirmations.Sent(c.gossipSeq, c.now)
	g := &Gossip{Seq: c.gossipSeq, Received: map[string]uint64{}, StoreOK: c.storeReachable(), ValueFormat: int(records.FormatGrouped), CallRate: c.budget.rate, WorkersHeard: map[string]int{}, Isolated: c.now < c.isolatedUntil}
	for zone, hosts := range c.foreignHeartbeats {
		for name, at := range hosts {
			if c.now > at+6*time.Second {
				delete(hosts, name)
			}
		}
		g.WorkersHeard[zone] = len(hosts)
	}
	for _, peer := range c.peers {
		if peer.gossip != nil {
			g.Received[peer.Label] = peer.gossip.Seq
		}
	}
	for _, shard := range c.shards {
		if shard.servedHere() && !shard.claim.HandingOver() {
			v := c.shardView(shard)
			c.jobCounts[shard.name] = v.Jobs
			g.Shards = append(g.Shards, v)
		}
	}
	c.dropOldCancellations()
	for i, peer := range c.peers {
		own := *g
		own.Cancellations = c.cancellationsFor(peer)
		c.emit(SendToPeer{i, Message{Epoch: c.cfg.Epoch, Gossip: &own}})
	}
}

func (c *Core) shardView(shard *Shard) ShardView {
	v := ShardView{Zone: shard.name, Token: shard.claim.Token(), TeamUsage: map[string]model.Resources{}, NoHeartbeats: c.noHeartbeats(shard)}
	v.Hosts, v.Images = c.hostGroups(shard)
	v.Backlog = c.backlog(shard)
	v.BackfillRoom = map[string]float64{}
	for t := range c.types {
		if room := c.backfillRoomOn(shard, t); room > 0 {
			v.BackfillRoom[c.types[t].Name] = math.Floor(room)
		}
	}
	for t := range c.types {
		for _, spot := range []bool{false, true} {
			if o := (MachineKind{c.types[t].Name, spot}); c.now < shard.exhaustedUntil[o] {
				v.Exhausted = append(v.Exhausted, o)
			}
		}
	}
	first := c.nextHostsUp(shard)
	for _, id := range sorted(shard.assignments) {
		assignment := shard.assignments[id]
		if assignment.job.state == model.JobPending {
			n := assignment.counts()
			c.trackMissing(assignment, n)
			shown := JobCounts{ID: id, Done: assignment.done.Count(), Running: n.Running}
			if assignment.job.spec.Service && n.missing() > 0 {
				shown.Starting, shown.Fetching, shown.Waiting, shown.MissingSeconds = n.Starting, n.Fetching, n.Waiting, math.Round(c.missingSeconds(assignment))
				shown.Reason, _ = c.whyMissing(shard, assignment, n, first)
			}
			v.Jobs = append(v.Jobs, shown)
		}
	}
	v.Queues = c.shardQueues(shard, first)
	for t, a := range shard.teamUsage {
		if a.Cores > 0 || a.GPUs > 0 {
			v.TeamUsage[c.teamConfigs[t].Name] = a
		}
	}
	return v
}

// hostGroups sums a part's machines up.
func (c *Core) hostGroups(shard *Shard) ([]HostGroup, []ImageShare) {
	var out []HostGroup
	at := map[HostGroup]int{}
	held := make(map[[2]int]int)
	ofType := make([]int, len(c.types))
	for _, host := range shard.hostList() {
		if !host.countsForPlans(c.now) {
			continue
		}
		g := HostGroup{Type: c.types[host.typeIndex].Name, Spot: host.spot, FetchingSeconds: roundToPowerOfTwo(seconds(host.fetchesDoneAt - c.now))}
		if host.state == hostBooting {
			g.ReadyInSeconds = roundToPowerOfTwo(seconds(max(host.expectedUpAt-c.now, time.Second)))
		} else {
			ofType[host.typeIndex]++
		}
		// One use stands for all: it ends when their mean does, by load. Whole
		// milliseconds add up to the same in any order.
		sum, uses := 0.0, 0.0
		for _, task := range host.tasks {
			if c.preemptible(task) {
				continue // it gives way to what is dealt here
			}
			g.Used = g.Used.Plus(task.need)
			use := c.coresTaken(task.need, host.typeIndex)
			sum += float64((c.expectedEnd(task)-c.now)/time.Millisecond) * use
			uses += use
		}
		if uses > 0 {
			g.BusySeconds = roundToPowerOfTwo(sum / 1000 / uses)
		}
		for img := range host.images {
			held[[2]int{img, host.typeIndex}]++
		}
		k, known := at[g]
		if !known {
			k = len(out)
			at[g] = k
			out = append(out, g)
		}
		out[k].Count++
	}
	var images []ImageShare
	for img, name := range c.images.names {
		for typ, n := range ofType {
			if k := held[[2]int{img, typ}]; k > 0 && n > 0 {
				images = append(images, ImageShare{name, c.types[typ].Name, min(float64(k)/float64(n), 1)})
			}
		}
	}
	return out, images
}

// roundToPowerOfTwo rounds a time to a power of two, so that machines fall into few groups.
func roundToPowerOfTwo(s float64) float64 {
	if s <= 0.1 {
		return 0
	}
	return math.Exp2(math.Round(math.Log2(max(s, 0.5))))
}

// backlog is how long the part's waiting work will keep its machines busy, by
// priority and by type of the pool it waits for. Without it a part with a long
// queue would look as good to those who deal as one whose machines are just as
// busy but whose queue is empty. Services do not pass through the machines: they take
// from what there is. Counted as an hour's work each, the part with the most machines
// for other work had the shortest queue, and all work went there.
func (c *Core) backlog(shard *Shard) []Backlog {
	pools := c.pools()
	work := make([][priorities]float64, len(pools))
	served := make([]float64, len(pools))
	for _, id := range sorted(shard.assignments) { // sums must not depend on a map's order
		assignment := shard.assignments[id]
		if assignment.job.state != model.JobPending {
			continue
		}
		typ := c.usualType(assignment.job)
		if typ < 0 {
			continue
		}
		i := poolOf(pools, typ)
		if assignment.job.spec.Service {
			served[i] += float64(len(assignment.tasks)+c.startableTasks(assignment)) * c.coresTaken(assignment.job.spec.Need, typ)
		} else if len(assignment.waiting) > 0 {
			work[i][min(assignment.job.spec.Priority, priorities-1)] += float64(c.startableTasks(assignment)) * c.coresTaken(assignment.job.spec.Need, typ) * c.estimatedRunTime(assignment.job)
		}
	}
	var out []Backlog
	for i, types := range pools {
		cores := c.capacity(shard, types) - served[i]
		for t := range c.types {
			if types&(1<<t) == 0 {
				continue
			}
			can := 1.0 // machines that can be hired at once
			if slices.Contains(c.types[t].Zones, shard.name) && !c.isExhausted(shard, MachineKind{c.types[t].Name, true}) {
				can = imaginedHosts
			}
			for prio, w := range work[i] {
				if w > 0 {
					out = append(out, Backlog{c.types[t].Name, prio, w / max(cores, can*c.types[t].Capacity.Cores)})
				}
			}
		}
	}
	return out
}

// priorities is how many there are.
const priorities = 4

// queueSeconds is how long work of the priority given waits for each type of the
// part's machines behind what is there already.
func (c *Core) queueSeconds(shard *Shard, priority int) []float64 {
	out := make([]float64, len(c.types))
	var queue []Backlog
	if shard.servedHere() {
		if shard.backlog == nil || c.now > shard.backlogAt+500*time.Millisecond {
			shard.backlog, shard.backlogAt = c.backlog(shard), c.now
		}
		queue = shard.backlog
	} else if shard.view != nil {
		queue = shard.view.Backlog
	}
	for _, b := range queue {
		if typ := c.typeIndex.lookup(b.Type); typ >= 0 && b.Priority <= priority {
			out[typ] += b.Seconds
		}
	}
	return out
}
