package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"roadcleat/internal/leadership"
)

// Minimum budgets of one controller, independent of the shards that it owns. It needs requests
// and writes to renew its lease and to watch the state service, calls to list the machines of
// the cloud, and sockets for calls to other programs in addition to those for users and workers.
const (
	minRequestsPerSecond   = 3.0
	minWritesPerSecond     = 1.0
	minCloudCallsPerSecond = 0.1
	minMemoryMB            = 24.0
	minSockets             = 48
	minSocketsPerPeer      = 4
	minValueKB             = 2.0 // fits a list of a few dozen running tasks
)

// Sizes that the warnings assume for the parts of a job's record in the state service.
const (
	jobSpecBytes      = 512.0
	bytesPerZoneEntry = 48.0 // without the zone's name
)

// minLeaseRenewalWindowSeconds is the time for which a controller should be able to keep replying
// to its workers, and thereby renewing their leases, while it cannot find out whether it has missed
// a cancellation.
const minLeaseRenewalWindowSeconds = 5.0

// leadership.LeaseRenewalWindow is the cancellation time minus a worker's lease, 2 s for a heartbeat
// in transit, and 1% of the cancellation time for clock drift. These constants invert that formula
// to compute a sufficient cancellation time.
const (
	heartbeatTransitMarginSeconds = 2
	driftAdjustedRatio            = 0.99
)

// minHeartbeatsPerLease is the minimum number of heartbeat intervals in a worker's lease.
const minHeartbeatsPerLease = 3

// coreSecondsPerHeartbeat is the processor time, in seconds of a whole core, that the owner of a
// worker spends for each of its heartbeats, including the planning, records and commands that
// follow from it. In simulated days with about 4,000 machines controllers used 0.5 to 1.1 ms per
// heartbeat on a processor at half the usual speed.
const coreSecondsPerHeartbeat = 0.0005

// Warnings returns a line for each of the platform's and the operators' settings with which the
// controllers will run badly: budgets that are too small for the number of controllers and zones,
// conflicting time limits, zones without a controller, and too many machines. Warnings do not
// prevent a start, since a controller that runs badly is better than none. More controllers than
// zones produce no warning: those that own no shard are on standby.
func (s *Settings) Warnings(o *OperatorConfig) []string {
	return slices.Concat(s.budgetWarnings(), s.timingWarnings(o), s.zoneWarnings(), s.heartbeatLoadWarnings(o))
}

// heartbeatLoadWarnings warns if the planned number of machines sends more heartbeats than the
// controllers can process with their shares of a core, either all controllers together or the
// last running one after all others have failed.
func (s *Settings) heartbeatLoadWarnings(o *OperatorConfig) []string {
	share := s.Deployment.Resources.Cores
	if o.PlannedMachines == 0 || share == 0 {
		return nil
	}
	controllers := float64(1 + len(s.Peers))
	heartbeatsPerSecond := o.PlannedMachines / s.Deployment.Workers.HeartbeatSeconds
	capacityPerController := share / coreSecondsPerHeartbeat
	load := fmt.Sprintf("[fleet] machines: %g machines send %.0f heartbeats a second, "+
		"expected at most about %.0f for a controller with %g of a core",
		o.PlannedMachines, heartbeatsPerSecond, capacityPerController, share)
	switch {
	case heartbeatsPerSecond > capacityPerController*controllers:
		return []string{fmt.Sprintf("%s and %.0f for all %g controllers: add controllers or raise core_share",
			load, capacityPerController*controllers, controllers)}
	case heartbeatsPerSecond > capacityPerController:
		return []string{load + ": if all other controllers fail, the remaining one is overloaded " +
			"and leases of workers expire"}
	}
	return nil
}

// budget is an amount that the platform grants, and the amount required for a purpose.
type budget struct {
	field             string
	granted, required float64
	purpose           string
}

// budgets returns all budgets with the amounts that this deployment requires.
func (s *Settings) budgets() []budget {
	d := &s.Deployment
	controllers, zones := float64(1+len(s.Peers)), float64(len(d.Zones))
	writes := max(minWritesPerSecond*controllers, 1+minWritesPerSecond*zones)
	sockets := minSockets + minSocketsPerPeer*(controllers-1)
	forControllers := fmt.Sprintf("for %g controllers", controllers)
	forEach := fmt.Sprintf("for each of %g controllers", controllers)
	return []budget{
		{"deployment.state.rps", d.StateService.RequestsPerSecond, minRequestsPerSecond * controllers, forControllers},
		{"deployment.state.write_rps", d.StateService.WritesPerSecond, writes, forControllers},
		{"deployment.state.txn_ops", float64(d.StateService.MaxTxnMutations), 1 + zones, "to assign a job to all zones in one transaction"},
		{"deployment.state.value_kb", d.StateService.MaxValueKB, d.minRecordKB(),
			"to store a job's record with an entry for each zone"},
		{"deployment.cloud.rps", d.Cloud.RequestsPerSecond, minCloudCallsPerSecond * controllers, forControllers},
		{"deployment.resources.memory_mb", d.Resources.MemoryMB, minMemoryMB, forEach},
		{"deployment.resources.fd_limit", float64(d.Resources.MaxFileDescriptors), sockets, forEach},
	}
}

// minRecordKB returns the size in KiB of a job's record with an entry for each zone, but at
// least minValueKB.
func (d *Deployment) minRecordKB() float64 {
	bytes := jobSpecBytes
	for _, zone := range d.Zones {
		bytes += float64(len(zone)) + bytesPerZoneEntry
	}
	return max(minValueKB, math.Ceil(bytes/1024))
}

// budgetWarnings warns about budgets below the required amount. A budget of 0 is unknown and
// gives no warning.
func (s *Settings) budgetWarnings() []string {
	var warnings []string
	for _, b := range s.budgets() {
		if b.granted > 0 && b.granted < b.required {
			warnings = append(warnings, fmt.Sprintf("%s: expected at least %g %s, got %g",
				b.field, b.required, b.purpose, b.granted))
		}
	}
	return warnings
}

// timingWarnings warns about time limits that conflict with each other.
func (s *Settings) timingWarnings(o *OperatorConfig) []string {
	workers := &s.Deployment.Workers
	warnings := workers.cancelTimeWarnings()
	if workers.HeartbeatSeconds > workers.LeaseSeconds/minHeartbeatsPerLease {
		warnings = append(warnings, fmt.Sprintf("deployment.workers.report_s: expected at most a third of lease_s (%g), "+
			"got %g: a worker's lease expires when consecutive heartbeats are lost",
			workers.LeaseSeconds, workers.HeartbeatSeconds))
	}
	return append(warnings, workers.failoverWarnings(o)...)
}

// cancelTimeWarnings warns about a cancellation time that is so close to the workers' lease that a
// controller without the state service cannot reply to its workers for long enough.
func (w *Workers) cancelTimeWarnings() []string {
	sufficient := math.Ceil((w.LeaseSeconds + minLeaseRenewalWindowSeconds + heartbeatTransitMarginSeconds) / driftAdjustedRatio)
	window := leadership.LeaseRenewalWindow(Seconds(w.LeaseSeconds), Seconds(w.CancelSeconds)).Seconds()
	switch {
	case window <= 0:
		return []string{fmt.Sprintf("deployment.workers.cancel_s: expected at least %g with lease_s %g, got %g: "+
			"controllers can never reply to workers, whose leases must expire within cancel_s",
			sufficient, w.LeaseSeconds, w.CancelSeconds)}
	case window < minLeaseRenewalWindowSeconds:
		return []string{fmt.Sprintf("deployment.workers.cancel_s: expected at least %g with lease_s %g, got %g: "+
			"a controller that loses the state service while another controller is down "+
			"replies to its workers for only %.1f s", sufficient, w.LeaseSeconds, w.CancelSeconds, window)}
	}
	return nil
}

// failoverWarnings warns about time limits with which a worker's lease expires before the worker
// finds another controller: either in a zone whose own controller has crashed, or in a zone whose
// own controller is reachable, so that other controllers wait for the takeover delay before they
// claim its shard.
func (w *Workers) failoverWarnings(o *OperatorConfig) []string {
	failoverTime := func(isHomeReachable bool) time.Duration {
		return o.Tuning().FailoverTime(Seconds(w.HeartbeatSeconds), Seconds(w.LeaseSeconds), isHomeReachable)
	}
	lease := Seconds(w.LeaseSeconds)
	if failoverDuration := failoverTime(false); failoverDuration > lease {
		return []string{fmt.Sprintf("deployment.workers.lease_s: expected at least the failover time of %.1f s, got %g: "+
			"when a controller crashes, its workers lose their leases and their running tasks "+
			"before they find another controller", failoverDuration.Seconds(), w.LeaseSeconds)}
	}
	if failoverDuration := failoverTime(true); failoverDuration > lease {
		return []string{fmt.Sprintf("[parts] grace_s: expected a delay with a failover time of at most lease_s (%g), "+
			"got %g with a failover time of at least %.1f s to another zone's controller",
			w.LeaseSeconds, o.TakeoverDelaySeconds, failoverDuration.Seconds())}
	}
	return nil
}

// zoneWarnings warns about controllers located in none of the zones and about zones without a
// controller.
func (s *Settings) zoneWarnings() []string {
	locations := []settingValue[string]{{"location", s.Zone}}
	for i, other := range s.Peers {
		locations = append(locations, settingValue[string]{fmt.Sprintf("others[%d].location", i), other.Zone})
	}
	var warnings []string
	hasController := map[string]bool{}
	for _, location := range locations {
		hasController[location.value] = true
		if !slices.Contains(s.Deployment.Zones, location.value) {
			warnings = append(warnings, fmt.Sprintf("%s: expected one of deployment.zones, got %q: "+
				"that controller owns shards only in place of other controllers", location.path, location.value))
		}
	}
	var withoutController []string
	for _, zone := range s.Deployment.Zones {
		if !hasController[zone] {
			withoutController = append(withoutController, zone)
		}
	}
	if len(withoutController) > 0 {
		warnings = append(warnings, fmt.Sprintf("deployment.zones: expected a controller in each zone, got none in %s: "+
			"if such a zone is partitioned from the others, no controller receives heartbeats of its machines, "+
			"and their tasks are restarted in other zones", strings.Join(withoutController, ", ")))
	}
	return warnings
}
