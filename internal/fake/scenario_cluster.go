package fake

import (
	"time"

	"roadcleat/internal/core"
)

// Delays of the background faults of ClusterConfig. Where there is a minimum and a spread, a delay
// is the minimum plus a random share of the spread.
const (
	maxLateWriteDelay        = 8 * time.Second
	minHeartbeatCopyDelay    = time.Second
	heartbeatCopyDelaySpread = 40 * time.Second
	minRepeatDelay           = time.Millisecond
	repeatDelaySpread        = 20 * time.Second
	minLateRentalDelay       = time.Second
	lateRentalDelaySpread    = 20 * time.Second
)

// coreConfig returns the configuration of the cluster's controllers.
func (s ClusterConfig) coreConfig() core.Config {
	cfg := DefaultConfig()
	if len(s.Zones) > 0 {
		cfg.Zones = s.Zones
	}
	if len(s.Teams) > 0 {
		cfg.Teams = s.Teams
	}
	if s.MaxValueBytes > 0 {
		cfg.MaxValueBytes = s.MaxValueBytes
	}
	return cfg
}

// zonesOfControllers returns the zone of each controller.
func (s ClusterConfig) zonesOfControllers() []string {
	if len(s.Controllers) > 0 {
		return s.Controllers
	}
	return s.coreConfig().Zones
}

// newSimulation returns a simulation of the scenario's cluster, without its jobs and faults.
func (s Scenario) newSimulation() *Simulation {
	cluster := s.Cluster
	sim := NewWithControllers(s.Seed, cluster.coreConfig(), cluster.zonesOfControllers()...)
	sim.State.WatchHistoryLimit = cluster.WatchHistoryLimit
	sim.Users.keepConnections = cluster.KeepConnections
	if len(cluster.MachineTypes) > 0 {
		sim.Cloud.setMachineTypes(cluster.MachineTypes)
	}
	if cluster.MachinesPerKind > 0 {
		for kind := range sim.Cloud.AvailableMachines {
			sim.Cloud.AvailableMachines[kind] = cluster.MachinesPerKind
		}
	}
	cluster.addNoise(sim)
	return sim
}

// addNoise adds the cluster's background faults to a simulation. They last for NoiseSeconds.
func (s ClusterConfig) addNoise(sim *Simulation) {
	until := secondsToDuration(s.NoiseSeconds)
	if until > 0 {
		sim.extendFaultPeriod(until)
		sim.State.slowTransactionsFor(secondsToDuration(s.TransactionSeconds), until)
	}
	happens := func(share float64) bool { return sim.Now < until && share > 0 && sim.Rand.Float64() < share }
	upTo := func(d time.Duration) time.Duration { return time.Duration(sim.Rand.Float64() * float64(d)) }
	sim.State.LoseReply = func(string, core.Txn) (bool, time.Duration) {
		return happens(s.LostReplyShare), upTo(maxLateWriteDelay)
	}
	sim.HeartbeatCopies = func(*Worker) []time.Duration {
		if !happens(s.HeartbeatCopyShare) {
			return nil
		}
		return []time.Duration{minHeartbeatCopyDelay + upTo(heartbeatCopyDelaySpread)}
	}
	sim.RepeatRequest = func(string, core.Operation) time.Duration {
		if !happens(s.RepeatedRequestShare) {
			return 0
		}
		return minRepeatDelay + upTo(repeatDelaySpread)
	}
	sim.Cloud.RentalDelay = func(core.RentHosts) time.Duration {
		if !happens(s.LateRentalShare) {
			return 0
		}
		return minLateRentalDelay + upTo(lateRentalDelaySpread)
	}
	if fastest, slowest := s.BootSecondsRange[0], s.BootSecondsRange[1]; slowest > 0 {
		sim.Cloud.BootSeconds = func(string) float64 {
			if happens(s.FailedBootShare) {
				return -1
			}
			return fastest + (slowest-fastest)*sim.Rand.Float64()
		}
	}
}
