package core

import (
	"math"
	"slices"
	"strings"
	"time"
)

// peer is another controller as seen from here.
type peer struct {
	Peer
	boot     uint64
	heard    time.Duration
	gossip   *Gossip
	gossipAt time.Duration
	bootAt   time.Duration // since when this life of it is known
	vouched  time.Duration // it knew of my gossip of then, and told all until then
	heardOf  uint64        // the newest of my gossip that this life of it has heard
}

func (c *Core) peer(label string) *peer {
	for _, p := range c.peers {
		if p.Label == label {
			return p
		}
	}
	return nil
}

func (c *Core) tellAll(m Message) {
	m.Boot = c.cfg.Boot
	for i := range c.peers {
		c.emit(Tell{i, m})
	}
}

// hear takes a message of another controller.
func (c *Core) hear(from int, m Message) {
	p := c.peers[from]
	if p.boot != m.Boot {
		p.boot, p.bootAt, p.vouched, p.heardOf = m.Boot, c.now, 0, 0
	}
	p.heard = c.now
	for _, it := range m.Jobs {
		c.learnJob(strings.TrimPrefix(it.Key, "job/"), it.Value, it.Stamp)
	}
	for _, it := range m.Slices {
		zone, id, ok := strings.Cut(strings.TrimPrefix(it.Key, "slice/"), "/")
		if !ok {
			continue
		}
		z := c.zones.known(zone)
		if z < 0 || !c.parts[z].mine || !c.parts[z].loaded {
			continue
		}
		if j := c.jobs[id]; j != nil && it.Stamp < j.stamp {
			// Every move changes the job as well, so tasks have moved since. Word held
			// back by a cut once brought a slice back that was no more, and its task
			// ran twice.
			c.readSlice(c.parts[z], id)
			continue
		}
		c.sliceSeen(c.parts[z], id, it.Value, it.Stamp)
	}
	for _, zone := range m.Freed {
		if z := c.zones.known(zone); z >= 0 && !c.parts[z].mine && !c.parts[z].claiming {
			c.parts[z].offered = true
			c.rereadPart(c.parts[z])
		}
	}
	for _, it := range m.Quotas {
		if t := c.teams.known(strings.TrimPrefix(it.Key, "quota/")); t >= 0 {
			c.learnQuota(c.quotas[t], true, it.Value, it.Stamp)
		}
	}
	for _, ask := range m.Asks {
		if t := c.teams.known(ask.Team); t >= 0 {
			c.quotas[t].asks[from] = heardAsk{ask, c.now}
			for _, q := range c.parts {
				if q.mine && q.loaded {
					c.giveBack(q, t, true)
				}
			}
		}
	}
	if m.Gossip != nil {
		c.hearGossip(p, m.Gossip)
	}
}

func (c *Core) hearGossip(p *peer, g *Gossip) {
	p.gossip, p.gossipAt = g, c.now
	for _, it := range g.Withdrawn {
		c.learnJob(strings.TrimPrefix(it.Key, "job/"), it.Value, it.Stamp)
	}
	// What it wrote after it had heard my gossip holds, together with what came
	// before, all withdrawals that it had told anybody of by the time I sent that;
	// packets may be held for long. Not so if I missed it for longer than it repeats
	// withdrawals.
	p.heardOf = max(p.heardOf, g.Echo[c.cfg.Label])
	if at, ok := c.sentAt[g.Echo[c.cfg.Label]]; ok && c.now < max(c.jobsView.fresh, p.vouched)+c.cfg.Cancel {
		p.vouched = max(p.vouched, at)
	}
	for i := range g.Parts {
		v := &g.Parts[i]
		z := c.zone(v.Zone)
		q := c.parts[z]
		if q.mine {
			if v.Token > q.token {
				c.lose(q, "a peer shows a higher token")
				c.partsView.loaded = false
			}
			continue
		}
		if q.view != nil && q.view.Token > v.Token {
			continue
		}
		q.view, q.viewAt, q.devices = v, c.now, nil
		// An owner that lost the store goes on telling of a claim that is gone. Taken at
		// its word it kept its part, in which it could start nothing, from the others.
		if v.Token > q.stamp && v.Token > q.removed && !q.claiming {
			q.owner, q.stamp, q.known, q.freeSince = p.Label, v.Token, true, 0
		}
		c.shown[v.Zone] = v.Show
	}
}

// gossip tells the others what this controller owns and sees.
func (c *Core) gossip() {
	if c.now < c.gossipAt {
		return
	}
	c.gossipAt = c.now + 500*time.Millisecond
	c.gossipSeq++
	c.sentAt[c.gossipSeq] = c.now
	delete(c.sentAt, c.gossipSeq-120)
	g := &Gossip{Seq: c.gossipSeq, Echo: map[string]uint64{}, StoreOK: c.storeWell(), Reads: formGrouped, Wants: c.wants, Heard: map[string]int{}, CutOff: c.now < c.cutOffUntil}
	for zone, hosts := range c.heard {
		for name, at := range hosts {
			if c.now > at+6*time.Second {
				delete(hosts, name)
			}
		}
		g.Heard[zone] = len(hosts)
	}
	for _, p := range c.peers {
		if p.gossip != nil {
			g.Echo[p.Label] = p.gossip.Seq
		}
	}
	for _, p := range c.parts {
		if p.mine && p.loaded && !p.handingOver {
			v := c.viewOf(p)
			c.shown[p.name] = v.Show
			g.Parts = append(g.Parts, v)
		}
	}
	c.withdrawn = slices.DeleteFunc(c.withdrawn, func(w withdrawal) bool { return c.now > w.at+c.cfg.Cancel+10*time.Second })
	for i, p := range c.peers {
		own := *g
		own.Withdrawn = c.unheardBy(p)
		c.emit(Tell{i, Message{Boot: c.cfg.Boot, Gossip: &own}})
	}
}

// unheardBy lists the withdrawals that another controller may have to hear of from
// here because it does not reach the state service. Each is in all gossip to it
// until it has heard one of those.
func (c *Core) unheardBy(p *peer) []Item {
	var out []Item
	for _, w := range c.withdrawn {
		if p.heardOf < w.from {
			out = append(out, w.item)
		}
	}
	return out
}

// withdrawal is a withdrawal, when it became known here and the first gossip it is in.
type withdrawal struct {
	at   time.Duration
	from uint64
	item Item
}

func (c *Core) viewOf(p *part) PartView {
	v := PartView{Zone: p.name, Token: p.token, Used: map[string]Amount{}, Dark: c.dark(p)}
	v.Hosts, v.Images = c.groups(p)
	v.Queue = c.backlog(p)
	v.Fill = map[string]float64{}
	for t := range c.types {
		if room := c.backfillRoomOn(p, t); room > 0 {
			v.Fill[c.types[t].Name] = math.Floor(room)
		}
	}
	for t := range c.types {
		for _, spot := range []bool{false, true} {
			if o := (Offer{c.types[t].Name, spot}); c.now < p.scarce[o] {
				v.Scarce = append(v.Scarce, o)
			}
		}
	}
	first := c.firstUp(p)
	for _, id := range sorted(p.slices) {
		s := p.slices[id]
		if s.job.standing == Pending {
			n := s.tally()
			c.seeMissing(s, n)
			shown := Shown{ID: id, Done: s.done.count(), Running: n.Up}
			if s.job.spec.Service && n.missing() > 0 {
				shown.Starting, shown.Fetching, shown.Waiting, shown.MissingS = n.Starting, n.Fetching, n.Waiting, math.Round(c.missingS(s))
				shown.Why, _ = c.why(p, s, n, first)
			}
			v.Show = append(v.Show, shown)
		}
	}
	v.Queues = c.queuesOf(p, first)
	for t, a := range p.used {
		if a.Cores > 0 || a.Cards > 0 {
			v.Used[c.limits[t].Name] = a
		}
	}
	return v
}

// groups sums a part's machines up.
func (c *Core) groups(p *part) ([]HostGroup, []ImageShare) {
	var out []HostGroup
	at := map[HostGroup]int{}
	held := make(map[[2]int]int)
	ofType := make([]int, len(c.types))
	for _, h := range p.hostList() {
		if !h.planned(c.now) {
			continue
		}
		g := HostGroup{Type: c.types[h.typ].Name, Spot: h.spot, FetchAt: roughly(seconds(h.fetchEnd - c.now))}
		if h.state == booting {
			g.Up = roughly(seconds(max(h.eta-c.now, time.Second)))
		} else {
			ofType[h.typ]++
		}
		// One use stands for all: it ends when their mean does, by load. Whole
		// milliseconds add up to the same in any order.
		sum, uses := 0.0, 0.0
		for _, t := range h.tasks {
			if c.preemptible(t) {
				continue // it gives way to what is dealt here
			}
			g.Used = g.Used.plus(t.need, 1)
			use := c.takes(t.need, h.typ)
			sum += float64((c.expectedEnd(t)-c.now)/time.Millisecond) * use
			uses += use
		}
		if uses > 0 {
			g.For = roughly(sum / 1000 / uses)
		}
		for img := range h.images {
			held[[2]int{img, h.typ}]++
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
	for img, name := range c.images.list {
		for typ, n := range ofType {
			if k := held[[2]int{img, typ}]; k > 0 && n > 0 {
				images = append(images, ImageShare{name, c.types[typ].Name, min(float64(k)/float64(n), 1)})
			}
		}
	}
	return out, images
}

// roughly rounds a time to a power of two, so that machines fall into few groups.
func roughly(s float64) float64 {
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
func (c *Core) backlog(p *part) []Backlog {
	pools := c.pools()
	work := make([][priorities]float64, len(pools))
	served := make([]float64, len(pools))
	for _, id := range sorted(p.slices) { // sums must not depend on a map's order
		s := p.slices[id]
		if s.job.standing != Pending {
			continue
		}
		typ := c.usualType(s.job)
		if typ < 0 {
			continue
		}
		i := poolOf(pools, typ)
		if s.job.spec.Service {
			served[i] += float64(len(s.tasks)+c.startable(s)) * c.takes(s.job.spec.Need, typ)
		} else if len(s.waiting) > 0 {
			work[i][min(s.job.spec.Priority, priorities-1)] += float64(c.startable(s)) * c.takes(s.job.spec.Need, typ) * c.estimate(s.job)
		}
	}
	var out []Backlog
	for i, types := range pools {
		cores := c.capacity(p, types) - served[i]
		for t := range c.types {
			if types&(1<<t) == 0 {
				continue
			}
			can := 1.0 // machines that can be hired at once
			if contains(c.types[t].Zones, p.name) && !c.isScarce(p, Offer{c.types[t].Name, true}) {
				can = imagined
			}
			for prio, w := range work[i] {
				if w > 0 {
					out = append(out, Backlog{c.types[t].Name, prio, w / max(cores, can*c.types[t].Total.Cores)})
				}
			}
		}
	}
	return out
}

// priorities is how many there are.
const priorities = 4

// queueFor is how long work of the priority given waits for each type of the
// part's machines behind what is there already.
func (c *Core) queueFor(p *part, priority int) []float64 {
	out := make([]float64, len(c.types))
	var queue []Backlog
	if p.mine && p.loaded {
		if p.queue == nil || c.now > p.queueAt+500*time.Millisecond {
			p.queue, p.queueAt = c.backlog(p), c.now
		}
		queue = p.queue
	} else if p.view != nil {
		queue = p.view.Queue
	}
	for _, b := range queue {
		if typ := c.typeIdx.known(b.Type); typ >= 0 && b.Priority <= priority {
			out[typ] += b.Seconds
		}
	}
	return out
}
