package core

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxHostsPerRental is the maximum number of machines that the cloud rents out per request.
	maxHostsPerRental = 50
	// maxPendingRentals is the maximum number of unfinished rental requests of a shard.
	maxPendingRentals = 4
	// exhaustedPeriod is the time for which a kind of machine is treated as unavailable in a zone
	// after the cloud refused a request for it or granted it only in part.
	exhaustedPeriod = 20 * time.Second
	// rentedBootFactor is the ratio of the expected boot time to the one in the catalog.
	rentedBootFactor = 1.1
)

// rental is an unfinished request to the cloud for machines. The cloud identifies the request by
// its name, which is never reused; a request without an answer is repeated under the same name.
type rental struct {
	request     RentHosts
	typeIndex   int
	attempts    int           // calls made so far
	callPending bool          // a call has been made and its result has not arrived
	retryAt     time.Duration // no call is sent before this time
	requestedAt time.Duration // when the request was created
}

// rent requests up to count machines of a kind and returns how many were added to a request. Each
// shard has at most one unfinished request per kind, shared by several jobs: the cloud allows few
// calls per second, and with one request per job the last job of a burst would be delayed by half a
// minute.
func (c *Core) rent(shard *Shard, kind MachineKind, count int, purpose string) int {
	if count <= 0 {
		return 0
	}
	isOfKind := func(r *rental) bool { return r.machineKind() == kind }
	if i := slices.IndexFunc(shard.rentals, isOfKind); i >= 0 {
		return c.enlargeRental(shard.rentals[i], count, purpose)
	}
	if len(shard.rentals) >= maxPendingRentals {
		return 0
	}
	count = min(count, maxHostsPerRental)
	c.debug("rental request created", "type", kind.Type, "spot", kind.Spot, "number", count,
		"for", purpose, "shard", shard.name)
	shard.rentalSeq++
	// The fencing token makes names unique across ownerships, the counter within one ownership.
	name := fmt.Sprintf("r-%s-%d-%d", shard.name, shard.claim.Token(), shard.rentalSeq)
	shard.rentals = append(shard.rentals, &rental{
		typeIndex:   c.typeNames.lookup(kind.Type),
		requestedAt: c.now,
		request:     RentHosts{Name: name, Type: kind.Type, Zone: shard.name, Spot: kind.Spot, Count: count},
	})
	return count
}

// enlargeRental adds machines to a rental request that has not been sent yet, and returns how many
// were added.
func (c *Core) enlargeRental(r *rental, count int, purpose string) int {
	if r.attempts > 0 {
		return 0
	}
	added := min(count, maxHostsPerRental-r.request.Count)
	c.debug("hosts added to unsent rental request", "name", r.request.Name, "number", added, "for", purpose)
	r.request.Count += added
	return added
}

func (r *rental) machineKind() MachineKind { return MachineKind{r.request.Type, r.request.Spot} }

// sendRentals sends the shard's rental requests that are due.
func (c *Core) sendRentals(shard *Shard) {
	term := shard.claim.Term()
	for _, r := range shard.rentals {
		if r.callPending || c.now < r.retryAt {
			continue
		}
		r.callPending = true
		r.attempts++
		c.info("sending rental request",
			"name", r.request.Name, "type", r.request.Type, "spot", r.request.Spot,
			"number", r.request.Count, "shard", shard.name, "token", shard.claim.Token())
		call(c, r.request, func(res RentResult) {
			if shard.isOwnedInTerm(term) {
				c.handleRentResult(shard, r, res)
			}
		})
	}
}

// handleRentResult handles the cloud's answer to a rental request. A request that was not sent or
// whose outcome is unknown is repeated until maxRentalAttempts calls have been made.
func (c *Core) handleRentResult(shard *Shard, r *rental, result RentResult) {
	r.callPending = false
	switch result.Outcome {
	case OutcomeOK:
		c.addRentedHosts(shard, r, result.Hosts)
	case OutcomeRefused:
		shard.outOfCapacityUntil[r.machineKind()] = c.now + exhaustedPeriod
		c.info("cloud refused rental: no capacity for this machine type",
			"type", r.request.Type, "spot", r.request.Spot, "shard", shard.name)
	default:
		if r.attempts < maxRentalAttempts {
			r.retryAt = c.now + cloudRetryDelay
			return
		}
	}
	if i := slices.Index(shard.rentals, r); i >= 0 {
		shard.rentals = slices.Delete(shard.rentals, i, i+1)
	}
	shard.needsPlan = true
}

// addRentedHosts adds the machines that the cloud has rented out to the shard, except those whose
// return was confirmed before this answer arrived. An answer with fewer machines than requested
// marks the kind as exhausted.
func (c *Core) addRentedHosts(shard *Shard, r *rental, names []string) {
	c.stats.Rented += uint64(len(names))
	if len(names) < r.request.Count {
		shard.outOfCapacityUntil[r.machineKind()] = c.now + exhaustedPeriod
	}
	bootSeconds := c.machineTypes[r.typeIndex].BootSeconds
	for _, name := range names {
		if _, returned := shard.returnedHosts[name]; returned {
			continue
		}
		host := c.findOrAddHost(shard, name)
		host.typeIndex, host.spot = r.typeIndex, r.request.Spot
		host.rentedAt = r.requestedAt
		host.expectedUpAt = r.requestedAt + secondsToDuration(bootSeconds*rentedBootFactor)
		host.bootDeadline = r.requestedAt + c.bootTimeout(bootSeconds)
		if host.incarnation == 0 {
			host.state = hostBooting
		}
	}
}
