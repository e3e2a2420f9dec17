package core

import (
	"fmt"
	"math"
	"roadcleat/internal/model"
	"slices"
	"sort"
	"time"
)

// rental is a rental under way. Its name is never used for anything else; while
// no answer came it is repeated under the same name.
type rental struct {
	request     RentHosts
	typeIndex   int
	attempts    int
	pending     bool
	retryAt     time.Duration
	requestedAt time.Duration
}

// usualType is the type that a job's machines are hired of when there is a
// choice, or -1.
func (c *Core) usualType(job *Job) int {
	best, price := -1, 0.0
	for t := range c.types {
		if c.typeSet(job)&(1<<t) == 0 {
			continue
		}
		if x := c.priceFor(job, MachineKind{c.types[t].Name, job.spec.Spot}); best < 0 || x < price {
			best, price = t, x
		}
	}
	return best
}

// pendingHosts counts the machines on their way, by kind.
func (c *Core) pendingHosts(shard *Shard) map[int]float64 {
	out := map[int]float64{}
	for _, host := range shard.hostList() {
		if (host.state == hostBooting || host.isJoining(c.now)) && host.typeIndex >= 0 {
			out[c.kindIndex(shard.zone, host.typeIndex, host.spot)]++
		}
	}
	for _, r := range shard.rentals {
		out[c.kindIndex(shard.zone, r.typeIndex, r.request.Spot)] += float64(r.request.Count)
	}
	return out
}

// offers lists what may be hired in the part, cheapest per core first, leaving
// out what was refused lately.
func (c *Core) offers(shard *Shard) []MachineKind {
	var out []MachineKind
	for _, t := range c.types {
		if !slices.Contains(t.Zones, shard.name) {
			continue
		}
		for _, spot := range []bool{true, false} {
			if o := (MachineKind{t.Name, spot}); c.now >= shard.exhaustedUntil[o] {
				out = append(out, o)
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return c.pricePerCore(out[a]) < c.pricePerCore(out[b]) })
	return out
}

func (c *Core) pricePerCore(o MachineKind) float64 {
	t := &c.types[c.typeIndex.lookup(o.Type)]
	price := t.Price
	if o.Spot {
		price = t.SpotPrice
	}
	return price / max(t.Capacity.Cores, 0.01)
}

// rentFor rents machines for work that finds no room soon, beyond what
// machines on their way will hold; those are then spoken for.
func (c *Core) rentFor(shard *Shard, n unplacedWork, coming map[int]float64) {
	per := n.job.spec.Need
	short := float64(n.tasks)
	for _, kind := range sorted(coming) {
		k := float64(c.tasksPerMachine(kind/2%len(c.types), per))
		if k == 0 || coming[kind] <= 0 || !c.allowedOn(n.job, kind) || short <= 0 {
			continue
		}
		taken := min(coming[kind], short/k)
		coming[kind] -= taken
		short -= taken * k
	}
	if short < 0.01 {
		return
	}
	offers := c.offers(shard)
	sort.SliceStable(offers, func(a, b int) bool { return c.priceFor(n.job, offers[a]) < c.priceFor(n.job, offers[b]) })
	for _, o := range offers {
		typ := c.typeIndex.lookup(o.Type)
		k, kind := c.tasksPerMachine(typ, per), c.kindIndex(shard.zone, typ, o.Spot)
		if k == 0 || !c.allowedOn(n.job, kind) {
			continue
		}
		boot := duration(c.types[typ].BootSeconds)
		if c.isBackfill(n.job) {
			assignment := shard.assignments[n.job.id]
			if assignment == nil || c.now < n.job.knownSince+boot && c.queueSeconds(shard, priorities)[typ] < seconds(boot) {
				return
			}
			if !o.Spot && n.job.spec.Spot {
				// No dear machine for backfill, as long as they can wait.
				if c.exportTasks(shard, n.job, short) || c.leavesReserve(assignment) {
					return
				}
				short = min(short, overdueBackfillTasks)
			}
		}
		if !o.Spot && n.job.spec.Spot && c.capacity(shard, c.typeSet(n.job)) > smallFleetCores {
			// Dear machines only for what still waits when they are up. What has
			// waited as long as that already is not put off by a reckoning: the
			// queue counts machines that this very job may not be able to use, and
			// on a few machines a queue says little of when it ends.
			if c.now < n.job.knownSince+boot {
				queue := c.queueSeconds(shard, n.job.spec.Priority)[typ]
				if short *= max(1-seconds(boot)/max(queue, 0.1), 0); short < 0.5 {
					return
				}
			}
			if c.exportTasks(shard, n.job, short) {
				return
			}
		}
		want := short / float64(k)
		if count := c.rent(shard, o, wholeTasks(math.Ceil(want-0.01)), "waiting work"); count > 0 {
			coming[kind] += max(float64(count)-want, 0)
		}
		return
	}
}

// taskExport is work to be handed to another part, which hires spot machines for it.
type taskExport struct {
	to    *Shard
	tasks int
}

// exportTasks has waiting tasks handed to the part that can hire spot machines for them,
// if there is one and they may go there.
func (c *Core) exportTasks(shard *Shard, job *Job, tasks float64) bool {
	if !movable(job) {
		return false
	}
	other := c.spotElsewhere(shard, c.typeSet(job), job.spec.Priority)
	if other != nil {
		shard.exports[job.id] = taskExport{other, wholeTasks(math.Ceil(tasks))}
	}
	return other != nil
}

// spotElsewhere names the part that can hire spot machines of the types given where
// this one would have to take dear ones: the one with the shortest queue, if that is over
// when such a machine is up or no longer than the queue here. Parts are not alike in what
// they can hire, and jobs go where machines are free already, so one was short of
// machines while others' cheap ones were never rented. A part whose machines all boot has
// a long queue and is the place to go all the same.
func (c *Core) spotElsewhere(shard *Shard, types uint64, priority int) *Shard {
	var best *Shard
	least, here := 0.0, c.queueSeconds(shard, priority)
	for _, other := range c.shards {
		if other == shard || !c.viewIsCurrent(other) || c.reportsNoHeartbeats(other) {
			continue
		}
		for t := range c.types {
			if types&(1<<t) == 0 || !slices.Contains(c.types[t].Zones, other.name) || c.isExhausted(other, MachineKind{c.types[t].Name, true}) {
				continue
			}
			if wait := c.queueSeconds(other, priority)[t]; wait < max(c.types[t].BootSeconds, here[t]) && (best == nil || wait < least) {
				best, least = other, wait
			}
		}
	}
	return best
}

// spotAvailableElsewhere says whether any other part can hire spot machines of the types given.
func (c *Core) spotAvailableElsewhere(shard *Shard, types uint64) bool {
	for _, other := range c.shards {
		if other == shard || !c.viewIsCurrent(other) || c.reportsNoHeartbeats(other) {
			continue
		}
		for t := range c.types {
			if types&(1<<t) != 0 && slices.Contains(c.types[t].Zones, other.name) && !c.isExhausted(other, MachineKind{c.types[t].Name, true}) {
				return true
			}
		}
	}
	return false
}

// priceFor is an offer's price per core for a job; types that others cannot do
// without count as dearer.
func (c *Core) priceFor(job *Job, o MachineKind) float64 {
	if c.contested(job, c.typeIndex.lookup(o.Type)) {
		return 1.6 * c.pricePerCore(o)
	}
	return c.pricePerCore(o)
}

// tasksPerMachine is how many tasks of a shape an empty machine of the type takes.
func (c *Core) tasksPerMachine(typ int, per model.Resources) int {
	t := c.types[typ].Capacity
	n := 1 << 20
	for _, x := range [][2]float64{{t.Cores, per.Cores}, {t.GPUs, per.GPUs}, {t.MemoryGB, per.MemoryGB}} {
		if x[1] > 0 {
			n = min(n, wholeTasks((x[0]+1e-6)/x[1]))
		}
	}
	return n
}

// rentForDemand rents for demand foreseen, one kind at a time: spot machines up to
// what peaks and their growth ask for, dear ones only up to the demand that lasts, where there are
// enough machines to tell and no queue outlasts a boot. A peak is mostly over by
// the time a machine is up. No dear ones for what can go where cheap ones are to be had.
func (c *Core) rentForDemand(shard *Shard, types uint64, grown, peaks, lasting float64) {
	for _, o := range c.offers(shard) {
		typ := c.typeIndex.lookup(o.Type)
		cores := grown
		if !o.Spot {
			cores = peaks
			if c.queueSeconds(shard, priorities)[typ] < c.types[typ].BootSeconds {
				cores = lasting
			}
		}
		if !o.Spot && c.spotAvailableElsewhere(shard, types) {
			return
		}
		if n := wholeTasks(cores/c.types[typ].Capacity.Cores + 0.5); n > 0 && types&(1<<typ) != 0 {
			c.rent(shard, o, min(n, 4), "room")
			return
		}
	}
}

// rentOrdinary rents ordinary machines for foreseen demand of work that may use no others.
func (c *Core) rentOrdinary(shard *Shard, types uint64, cores float64) {
	for _, o := range c.offers(shard) {
		typ := c.typeIndex.lookup(o.Type)
		if n := wholeTasks(cores/c.types[typ].Capacity.Cores + 0.5); n > 0 && !o.Spot && types&(1<<typ) != 0 {
			c.rent(shard, o, min(n, 4), "ordinary room")
			return
		}
	}
}

// maxRentedAtOnce is how many machines the cloud rents out at a time.
const maxRentedAtOnce = 50

// rent rents up to count machines of a kind and returns how many are asked for. What
// is wanted for one job after the other goes into one request per kind, of which one
// is under way at a time: with a request for each job, and few calls a second, a crowd
// of jobs waited half a minute for the last of its machines to be asked for.
func (c *Core) rent(shard *Shard, o MachineKind, count int, why string) int {
	if count <= 0 {
		return 0
	}
	for _, rental := range shard.rentals {
		if rental.request.Type != o.Type || rental.request.Spot != o.Spot {
			continue
		}
		if rental.attempts > 0 {
			return 0
		}
		more := min(count, maxRentedAtOnce-rental.request.Count)
		c.debug("hiring more", "name", rental.request.Name, "number", more, "for", why)
		rental.request.Count += more
		return more
	}
	if len(shard.rentals) >= 4 {
		return 0
	}
	count = min(count, maxRentedAtOnce)
	c.debug("to hire", "type", o.Type, "spot", o.Spot, "number", count, "for", why, "part", shard.name)
	shard.rentalSeq++
	// The token makes the name this ownership's own, the counter this request's.
	name := fmt.Sprintf("r-%s-%d-%d", shard.name, shard.claim.Token(), shard.rentalSeq)
	shard.rentals = append(shard.rentals, &rental{typeIndex: c.typeIndex.lookup(o.Type), requestedAt: c.now,
		request: RentHosts{Name: name, Type: o.Type, Zone: shard.name, Spot: o.Spot, Count: count}})
	return count
}

func (c *Core) sendRentals(shard *Shard) {
	term := shard.claim.Term()
	for _, rental := range shard.rentals {
		if rental.pending || c.now < rental.retryAt {
			continue
		}
		rental.pending = true
		rental.attempts++
		c.info("hiring", "name", rental.request.Name, "type", rental.request.Type, "spot", rental.request.Spot, "number", rental.request.Count, "part", shard.name, "token", shard.claim.Token())
		call(c, rental.request, func(res RentResult) {
			if !shard.ownedIn(term) {
				return
			}
			rental.pending = false
			switch res.Outcome {
			case OutcomeOK:
				c.onRented(shard, rental, res.Hosts)
			case OutcomeRefused:
				shard.exhaustedUntil[MachineKind{rental.request.Type, rental.request.Spot}] = c.now + 20*time.Second
				c.info("no capacity", "type", rental.request.Type, "spot", rental.request.Spot, "part", shard.name)
			default:
				if rental.attempts < maxRentalAttempts {
					rental.retryAt = c.now + retryCloudCall
					return
				}
			}
			for i, q := range shard.rentals {
				if q == rental {
					shard.rentals = append(shard.rentals[:i], shard.rentals[i+1:]...)
					break
				}
			}
			shard.needsPlan = true
		})
	}
}

func (c *Core) onRented(shard *Shard, r *rental, names []string) {
	c.stats.Rented += uint64(len(names))
	if len(names) < r.request.Count {
		shard.exhaustedUntil[MachineKind{r.request.Type, r.request.Spot}] = c.now + 20*time.Second
	}
	for _, name := range names {
		if _, gone := shard.returnedHosts[name]; gone {
			continue
		}
		host := c.hostByName(shard, name)
		host.typeIndex, host.spot = r.typeIndex, r.request.Spot
		host.rentedAt = r.requestedAt
		host.expectedUpAt = r.requestedAt + duration(c.types[r.typeIndex].BootSeconds*1.1)
		host.giveUpAt = r.requestedAt + c.bootTimeout(c.types[r.typeIndex].BootSeconds)
		if host.incarnation == 0 {
			host.state = hostBooting
		}
	}
}

// surplusOf is what a pool has beyond the cores that recent demand asks for, of all its
// machines and of the ordinary ones that work which may use no others asks for.
func (c *Core) surplusOf(p *Shard, types uint64, target, ordinary float64) surplus {
	return surplus{c.capacity(p, types) - target, c.ordinaryCapacity(p, types) - ordinary}
}

// returnIdleHosts gives machines back that have been idle for a while, or have been emptied,
// dearest first, as far as the surplus allows.
func (c *Core) returnIdleHosts(shard *Shard, types uint64, over *surplus) {
	for _, n := range shard.unplaced {
		if c.typeSet(n.job)&types != 0 {
			return // it may yet go there
		}
	}
	var idle []*Host
	for _, host := range shard.hostList() {
		if host.state == hostUp && host.typeIndex >= 0 && types&(1<<host.typeIndex) != 0 && len(host.tasks) == 0 && host.reclaimedAt == 0 &&
			(host.cordoned || c.now >= host.idleSince+c.cfg.Tuning.KeepIdle) {
			idle = append(idle, host)
		}
	}
	sort.Slice(idle, func(a, b int) bool {
		x := c.pricePerCore(MachineKind{c.types[idle[a].typeIndex].Name, idle[a].spot})
		y := c.pricePerCore(MachineKind{c.types[idle[b].typeIndex].Name, idle[b].spot})
		if x != y {
			return x > y
		}
		return idle[a].name < idle[b].name
	})
	var back []*Host
	for _, host := range idle {
		if over.take(c.types[host.typeIndex].Capacity.Cores, host.spot) {
			back = append(back, host)
		}
	}
	if len(back) > 0 {
		c.returnHosts(shard, back)
	}
}
