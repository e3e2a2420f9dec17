package fake

import (
	"slices"
	"time"

	"roadcleat/internal/records"
)

const (
	// assignmentCheckInterval is how often the invariant checker compares the stored assignments with
	// those that the owners have.
	assignmentCheckInterval = 5 * time.Second
	// maxUnknownAssignment is how long the owner of a loaded shard may lack a stored assignment while
	// it reaches the state service.
	maxUnknownAssignment = 20 * time.Second
)

// checkAssignments checks that the owners of loaded shards have every stored assignment of an
// unfinished job. An assignment that its owner lacks waits until the shard is loaded again.
func (c *InvariantChecker) checkAssignments() {
	sim := c.simulation
	unknown := map[string]time.Duration{}
	for key := range sim.State.entries {
		k := records.ParseKey(key)
		if k.Kind != records.KindAssignment || !sim.lacksAssignment(k.Zone, k.Job) {
			continue
		}
		since, wasUnknown := c.unknownAssignments[key]
		if !wasUnknown {
			since = sim.Now
		}
		unknown[key] = since
	}
	for _, key := range sortedKeys(unknown) {
		if sim.Now > unknown[key]+maxUnknownAssignment {
			k := records.ParseKey(key)
			c.recordViolation("unknown_assignment", "the owner of %s does not have the assignment of %s", k.Zone, k.Job)
			unknown[key] = sim.Now
		}
	}
	c.unknownAssignments = unknown
}

// lacksAssignment reports whether the owner of a shard serves it and reaches the state service, but
// does not have the assignment of a job that is unfinished according to its record.
func (sim *Simulation) lacksAssignment(zone, job string) bool {
	record, err := records.DecodeJob(sim.State.entries[records.JobKey(job)].value)
	if err != nil {
		return false
	}
	if _, final := record.FinalState(); final {
		return false
	}
	owner := sim.storedOwner(zone)
	if owner == nil || !owner.isRunning || sim.Now < owner.frozenUntil {
		return false
	}
	if sim.State.isUnavailable(owner.Name) || sim.activeCut(owner.Name, stateHost) != nil {
		return false
	}
	served, known := owner.Core.HasAssignment(zone, job)
	return served && !known
}

// storedOwner returns the controller that a shard's key names, or nil.
func (sim *Simulation) storedOwner(zone string) *Node {
	record, err := records.DecodeShard(sim.State.entries[records.ShardKey(zone)].value)
	if err != nil {
		return nil
	}
	i := slices.IndexFunc(sim.Nodes, func(n *Node) bool { return n.Name == record.Owner })
	if i < 0 {
		return nil
	}
	return sim.Nodes[i]
}
