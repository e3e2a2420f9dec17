package core

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxRentedAtOnce is how many machines the cloud rents out by one request.
	maxRentedAtOnce = 50
	// maxPendingRentals is how many requests of a shard may be under way.
	maxPendingRentals = 4
	// exhaustedFor is how long a kind that the cloud refused counts as not available.
	exhaustedFor = 20 * time.Second
	// rentedBootMargin is by what factor a boot is expected to take longer than stated.
	rentedBootMargin = 1.1
)

// rental is a request for machines under way. Its name is never used for anything else; a
// request without an answer is repeated under the same name.
type rental struct {
	request     RentHosts
	typeIndex   int
	attempts    int
	pending     bool
	retryAt     time.Duration
	requestedAt time.Duration
}

// rent asks for up to count machines of a kind and returns how many. Of each kind one request
// is under way at a time, and it takes in what several jobs need: with few calls a second to
// the cloud, a request for each job would delay the last of a burst of jobs by half a minute.
func (c *Core) rent(shard *Shard, kind MachineKind, count int, why string) int {
	if count <= 0 {
		return 0
	}
	isOfKind := func(r *rental) bool { return r.kind() == kind }
	if i := slices.IndexFunc(shard.rentals, isOfKind); i >= 0 {
		return c.enlargeRental(shard.rentals[i], count, why)
	}
	if len(shard.rentals) >= maxPendingRentals {
		return 0
	}
	count = min(count, maxRentedAtOnce)
	c.debug("rental planned", "type", kind.Type, "spot", kind.Spot, "number", count, "for", why, "shard", shard.name)
	shard.rentalSeq++
	// The token distinguishes this ownership's requests, the counter those within it.
	name := fmt.Sprintf("r-%s-%d-%d", shard.name, shard.claim.Token(), shard.rentalSeq)
	shard.rentals = append(shard.rentals, &rental{
		typeIndex:   c.typeIndex.lookup(kind.Type),
		requestedAt: c.now,
		request:     RentHosts{Name: name, Type: kind.Type, Zone: shard.name, Spot: kind.Spot, Count: count},
	})
	return count
}

// enlargeRental adds machines to a rental that has not been sent yet, and returns how many.
func (c *Core) enlargeRental(r *rental, count int, why string) int {
	if r.attempts > 0 {
		return 0
	}
	more := min(count, maxRentedAtOnce-r.request.Count)
	c.debug("rental enlarged", "name", r.request.Name, "number", more, "for", why)
	r.request.Count += more
	return more
}

func (r *rental) kind() MachineKind { return MachineKind{r.request.Type, r.request.Spot} }

// sendRentals sends the shard's rentals that are due.
func (c *Core) sendRentals(shard *Shard) {
	term := shard.claim.Term()
	for _, r := range shard.rentals {
		if r.pending || c.now < r.retryAt {
			continue
		}
		r.pending = true
		r.attempts++
		c.info("renting hosts", "name", r.request.Name, "type", r.request.Type, "spot", r.request.Spot,
			"number", r.request.Count, "shard", shard.name, "token", shard.claim.Token())
		call(c, r.request, func(res RentResult) {
			if shard.ownedIn(term) {
				c.onRentResult(shard, r, res)
			}
		})
	}
}

func (c *Core) onRentResult(shard *Shard, r *rental, res RentResult) {
	r.pending = false
	switch res.Outcome {
	case OutcomeOK:
		c.onRented(shard, r, res.Hosts)
	case OutcomeRefused:
		shard.exhaustedUntil[r.kind()] = c.now + exhaustedFor
		c.info("no capacity", "type", r.request.Type, "spot", r.request.Spot, "shard", shard.name)
	default:
		if r.attempts < maxRentalAttempts {
			r.retryAt = c.now + retryCloudCall
			return
		}
	}
	if i := slices.Index(shard.rentals, r); i >= 0 {
		shard.rentals = slices.Delete(shard.rentals, i, i+1)
	}
	shard.needsPlan = true
}

// onRented records machines that the cloud has rented out, unless they were returned before
// the answer arrived.
func (c *Core) onRented(shard *Shard, r *rental, names []string) {
	c.stats.Rented += uint64(len(names))
	if len(names) < r.request.Count {
		shard.exhaustedUntil[r.kind()] = c.now + exhaustedFor
	}
	boot := c.types[r.typeIndex].BootSeconds
	for _, name := range names {
		if _, returned := shard.returnedHosts[name]; returned {
			continue
		}
		host := c.hostByName(shard, name)
		host.typeIndex, host.spot = r.typeIndex, r.request.Spot
		host.rentedAt = r.requestedAt
		host.expectedUpAt = r.requestedAt + duration(boot*rentedBootMargin)
		host.giveUpAt = r.requestedAt + c.bootTimeout(boot)
		if host.incarnation == 0 {
			host.state = hostBooting
		}
	}
}
