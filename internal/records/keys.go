// Package records defines the records that controllers keep in the state service: their keys,
// their JSON values and format versions, and the maximum size of a value.
//
// Controllers of other versions read these values, also after upgrades, so JSON names and key
// prefixes never change; recorded_test.go compares them with values that earlier versions
// wrote. PROTOCOL limits a value to state.value_kb. A record whose tasks may still move or end
// in any order must stay within that limit in every case, so SizeBudget bounds its size before
// a task is added.
package records

import "strings"

// Key prefixes. Their words are those of the first version and cannot change.
const (
	// ShardPrefix is the prefix of shard keys. A shard's key names its owner and is attached to
	// the owner's lease.
	ShardPrefix = "part/"
	// JobPrefix is the prefix of job keys, which are never deleted.
	JobPrefix = "job/"

	assignmentPrefix = "slice/"
	quotaPrefix      = "quota/"
)

// MachineTypesKey holds the machine types of the last catalog read from the cloud, so that a
// controller that starts while the cloud is unreachable can load them.
const MachineTypesKey = "types"

// ShardKey returns the key of a zone's shard.
func ShardKey(zone string) string { return ShardPrefix + zone }

// JobKey returns the key of a job.
func JobKey(job string) string { return JobPrefix + job }

// AssignmentKey returns the key of a shard's share of a job.
func AssignmentKey(zone, job string) string { return AssignmentPrefix(zone) + job }

// AssignmentPrefix returns the prefix of the keys of a shard's assignments.
func AssignmentPrefix(zone string) string { return assignmentPrefix + zone + "/" }

// QuotaKey returns the key of a team's grants.
func QuotaKey(team string) string { return quotaPrefix + team }

// Kind is the kind of record that a key holds.
type Kind int

// Kinds of records. KindOther is the machine types' key, or any key that is not recognized.
const (
	KindOther Kind = iota
	KindShard
	KindJob
	KindAssignment
	KindQuota
)

// Key is a parsed key of the state service.
type Key struct {
	Kind Kind
	Zone string // set for a shard or an assignment
	Job  string // set for a job or an assignment
	Team string // set for a quota
}

// ParseKey parses a key. A key of no known form has KindOther.
func ParseKey(key string) Key {
	if zone, ok := strings.CutPrefix(key, ShardPrefix); ok {
		return Key{Kind: KindShard, Zone: zone}
	}
	if job, ok := strings.CutPrefix(key, JobPrefix); ok {
		return Key{Kind: KindJob, Job: job}
	}
	if rest, ok := strings.CutPrefix(key, assignmentPrefix); ok {
		if zone, job, ok := strings.Cut(rest, "/"); ok {
			return Key{Kind: KindAssignment, Zone: zone, Job: job}
		}
	}
	if team, ok := strings.CutPrefix(key, quotaPrefix); ok {
		return Key{Kind: KindQuota, Team: team}
	}
	return Key{}
}
