package core

import (
	"cmp"
	"slices"
)

// ServiceStatus is a service in all shards, as far as known here.
type ServiceStatus struct {
	Job    string `json:"job"`
	Class  string `json:"class"`
	Team   string `json:"team"`
	Wanted int    `json:"wanted"`
	TaskCounts
	Unaccounted    int           `json:"unknown"` // replicas in shards whose owners were not heard lately
	MissingSeconds float64       `json:"missing_s"`
	Reasons        []ShardReason `json:"why,omitempty"`
}

// ShardReason is why a shard's replicas of a service do not all run.
type ShardReason struct {
	Shard  string `json:"part"`
	Reason Reason `json:"why"`
	Detail string `json:"detail,omitempty"`
}

// services describes all services, those that have missed replicas longest first; or only one,
// if its job is given.
func (c *Core) services(only string) []ServiceStatus {
	byJob := map[string]*ServiceStatus{}
	for id, job := range c.jobs {
		if job.spec.Service && (only == "" || id == only) {
			byJob[id] = &ServiceStatus{Job: id, Class: job.spec.Class, Team: job.spec.Team, Wanted: job.spec.Tasks}
		}
	}
	if len(byJob) == 0 {
		return nil
	}
	for _, shard := range c.shards {
		c.addReplicas(shard, byJob)
	}
	var services []ServiceStatus
	for _, id := range sorted(byJob) {
		service := byJob[id]
		service.Unaccounted = max(service.Wanted-service.Running-service.missing(), 0)
		for _, shard := range c.shards {
			if why := c.whyUnaccounted(shard); service.Unaccounted > 0 && why != ReasonNone {
				service.Reasons = append(service.Reasons, ShardReason{shard.name, why, ""})
			}
		}
		services = append(services, *service)
	}
	slices.SortStableFunc(services, func(a, b ServiceStatus) int {
		return cmp.Compare(b.MissingSeconds, a.MissingSeconds)
	})
	return services
}

// addReplicas adds a shard's replicas: from this controller's own data, or from the newest
// gossip of the owner.
func (c *Core) addReplicas(shard *Shard, byJob map[string]*ServiceStatus) {
	switch {
	case shard.servedHere():
		nextUp := c.nextHostsUp(shard)
		for id, assignment := range shard.assignments {
			if service := byJob[id]; service != nil {
				counts := assignment.counts()
				why, detail := c.whyMissing(shard, assignment, counts, nextUp)
				service.addShard(counts, c.missingSeconds(assignment), ShardReason{shard.name, why, detail})
			}
		}
	case c.whyUnaccounted(shard) == ReasonNone:
		for _, counts := range c.jobCounts[shard.name] {
			if service := byJob[counts.ID]; service != nil {
				service.addShard(counts.counts(), counts.MissingSeconds, ShardReason{shard.name, counts.Reason, ""})
			}
		}
	}
}

// addShard adds a shard's share of the service.
func (s *ServiceStatus) addShard(counts TaskCounts, missingSeconds float64, why ShardReason) {
	s.Add(counts)
	s.MissingSeconds = max(s.MissingSeconds, missingSeconds)
	if counts.missing() > 0 {
		s.Reasons = append(s.Reasons, why)
	}
}
