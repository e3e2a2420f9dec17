package core

import (
	"cmp"
	"slices"
)

// ServiceStatus is the state of a service's replicas in all shards, as far as this controller has
// the data.
type ServiceStatus struct {
	Job    string `json:"job"`
	Class  string `json:"class"`
	Team   string `json:"team"`
	Wanted int    `json:"wanted"`
	TaskCounts
	Unaccounted    int           `json:"unknown"`   // in shards without current counts, see reasonUnaccounted
	MissingSeconds float64       `json:"missing_s"` // longest time for which a shard has lacked running replicas
	Reasons        []ShardReason `json:"why,omitempty"`
}

// ShardReason is the reason why some of a service's replicas in a shard do not run.
type ShardReason struct {
	Shard  string `json:"part"`
	Reason Reason `json:"why"`
	Detail string `json:"detail,omitempty"`
}

// serviceStatuses returns the status of all services, or of one job only if its ID is given.
// Services that have lacked replicas longest come first.
func (c *Core) serviceStatuses(onlyJob string) []ServiceStatus {
	byJob := map[string]*ServiceStatus{}
	for id, job := range c.jobs {
		if job.spec.Service && (onlyJob == "" || id == onlyJob) {
			byJob[id] = &ServiceStatus{Job: id, Class: job.spec.Class, Team: job.spec.Team, Wanted: job.spec.Tasks}
		}
	}
	if len(byJob) == 0 {
		return nil
	}
	for _, shard := range c.shards {
		c.addShardReplicas(shard, byJob)
	}
	var services []ServiceStatus
	for _, id := range sortedKeys(byJob) {
		service := byJob[id]
		service.Unaccounted = max(service.Wanted-service.Running-service.missing(), 0)
		for _, shard := range c.shards {
			if reason := c.reasonUnaccounted(shard); service.Unaccounted > 0 && reason != ReasonNone {
				service.Reasons = append(service.Reasons, ShardReason{shard.name, reason, ""})
			}
		}
		services = append(services, *service)
	}
	slices.SortStableFunc(services, func(a, b ServiceStatus) int {
		return cmp.Compare(b.MissingSeconds, a.MissingSeconds)
	})
	return services
}

// addShardReplicas adds a shard's replicas to the services: from this controller's own data if it
// owns the shard, otherwise from the owner's newest gossip.
func (c *Core) addShardReplicas(shard *Shard, byJob map[string]*ServiceStatus) {
	switch {
	case shard.isServedHere():
		nextUp := c.nextHostsUp(shard)
		for id, assignment := range shard.assignments {
			if service := byJob[id]; service != nil {
				counts := assignment.counts()
				reason, detail := c.reasonNotRunning(shard, assignment, counts, nextUp)
				service.addShard(counts, c.missingSeconds(assignment), ShardReason{shard.name, reason, detail})
			}
		}
	case c.reasonUnaccounted(shard) == ReasonNone:
		for _, counts := range c.jobCounts[shard.name] {
			if service := byJob[counts.ID]; service != nil {
				service.addShard(counts.counts(), counts.MissingSeconds, ShardReason{shard.name, counts.Reason, ""})
			}
		}
	}
}

// addShard adds a shard's share of the service's replicas.
func (s *ServiceStatus) addShard(counts TaskCounts, missingSeconds float64, reason ShardReason) {
	s.Add(counts)
	s.MissingSeconds = max(s.MissingSeconds, missingSeconds)
	if counts.missing() > 0 {
		s.Reasons = append(s.Reasons, reason)
	}
}
