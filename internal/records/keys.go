// Package records defines what controllers keep in the state service: the keys, the JSON
// values and their versions, and how large a value can become.
//
// Values are read by controllers of other versions and after upgrades, so JSON names and
// key prefixes never change; recorded_test.go compares them with what earlier versions
// wrote. PROTOCOL limits a value to state.value_kb, so a record whose tasks may still move
// or end in any order must stay within that limit whatever happens: SizeBudget bounds it
// before a task is added.
package records

import "strings"

// Prefixes of keys. The words are those of the first version.
const (
	// ShardPrefix begins the keys of shards: who owns one, on the owner's lease.
	ShardPrefix = "part/"
	// JobPrefix begins the keys of jobs, which are never deleted.
	JobPrefix = "job/"

	assignmentPrefix = "slice/"
	quotaPrefix      = "quota/"
)

// MachineTypesKey holds the machine types as the cloud last told them, so that a controller
// that starts while the cloud is out of reach knows them.
const MachineTypesKey = "types"

// ShardKey is the key of a zone's shard.
func ShardKey(zone string) string { return ShardPrefix + zone }

// JobKey is the key of a job.
func JobKey(job string) string { return JobPrefix + job }

// AssignmentKey is the key of a shard's share of a job.
func AssignmentKey(zone, job string) string { return AssignmentPrefix(zone) + job }

// AssignmentPrefix begins the keys of a shard's assignments.
func AssignmentPrefix(zone string) string { return assignmentPrefix + zone + "/" }

// QuotaKey is the key of a team's grants.
func QuotaKey(team string) string { return quotaPrefix + team }

// Kind is what a key holds.
type Kind int

// Kinds of keys.
const (
	KindOther Kind = iota
	KindShard
	KindJob
	KindAssignment
	KindQuota
)

// Key is a parsed key.
type Key struct {
	Kind Kind
	Zone string // of a shard or an assignment
	Job  string // of a job or an assignment
	Team string // of a quota
}

// ParseKey parses a key. One that no version writes is of KindOther.
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
