package peer

import (
	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// The gob types define the encoding of messages on the wire. Gob identifies fields by their Go
// names, so the names of these fields must never change: during a rolling upgrade, controllers
// of two versions exchange messages. encodeMessage and decodeMessage map the types to those of
// package core. Structs of package core whose field names equal those on the wire are encoded
// directly; the tests in recorded_test.go fail if one of their fields is renamed.
type (
	// gobMessage encodes a core.Message.
	gobMessage struct {
		Boot   uint64 // epoch of the sender's process
		Gossip *gobGossip
		Jobs   []gobItem           // keys of jobs that the sender just read or wrote
		Slices []gobItem           // keys of assignments that the sender just wrote
		Freed  []string            // zones whose shards the receiver should claim
		Asks   []core.GrantRequest // requests for grants of teams' quotas
		Quotas []gobItem           // keys of quotas that the sender just wrote
	}

	// gobItem encodes a core.Item: a key of the state service with its value and revision.
	gobItem struct {
		Key   string
		Value []byte
		Stamp uint64 // revision of the key
	}

	// gobGossip encodes a core.Gossip.
	gobGossip struct {
		Seq       uint64            // sequence number of the sender's gossip
		Echo      map[string]uint64 // newest sequence number received, by controller
		Withdrawn []gobItem         // job cancellations that the receiver may not have observed
		StoreOK   bool              // the sender can reach the state service
		Reads     int               // newest record format that the sender can decode
		Wants     core.BudgetShare  // rate of the sender's recent calls to the state service
		Parts     []gobShard        // shards that the sender owns
		Heard     map[string]int    // number of workers of other owners' shards that sent heartbeats to the sender, by zone
		CutOff    bool              // the sender released a shard because none of its workers sent heartbeats
	}

	// gobShard encodes a core.ShardView: an owner's summary of a shard.
	gobShard struct {
		Zone   string
		Token  uint64 // fencing token of the owner
		Dark   bool   // none of the shard's workers send heartbeats to the owner
		Hosts  []gobHostGroup
		Queue  []core.Backlog
		Images []core.ImageShare
		Scarce []core.MachineKind      // kinds of machines that the cloud recently refused
		Show   []gobJobCounts          // task counts of the shard's jobs, for display
		Used   map[string]gobResources // resources in use, by team
		Fill   map[string]float64      // cores available to backfill, by machine type
		Queues []gobQueue              // tasks that do not run yet, by class and team
	}

	// gobResources encodes model.Resources: cores, GPUs and memory in GB.
	gobResources struct{ Cores, Cards, Mem float64 }

	// gobHostGroup encodes a core.HostGroup: the number of hosts of one kind with the same use.
	gobHostGroup struct {
		Type    string
		Spot    bool
		Count   int
		Up      float64      // seconds until the hosts can take tasks
		Used    gobResources // resources in use on each host
		For     float64      // seconds until the used resources are free again
		FetchAt float64      // seconds until the queued image fetches are complete
	}

	// gobJobCounts encodes a core.JobCounts: the tasks of a job's assignment, by state.
	gobJobCounts struct {
		ID                          string
		Done, Running               int
		Starting, Fetching, Waiting int
		MissingS                    float64     // seconds for which replicas of the service have been missing
		Why                         core.Reason // reason why replicas are missing
	}

	// gobQueue encodes a core.Queue: the tasks of a class and team that do not run yet.
	gobQueue struct {
		Part, Class, Team string // Part is the zone of the shard
		Tally             gobTally
		WaitS             float64     // seconds for which the longest-waiting job has lacked running tasks
		Job               string      // the longest-waiting job
		Why               core.Reason // reason why that job waits
	}

	// gobTally encodes a core.TaskCounts. Up is the number of running tasks.
	gobTally struct{ Up, Starting, Fetching, Waiting int }
)

// convertSlice applies f to each element of a slice. A nil slice stays nil, since gob omits
// nil slices.
func convertSlice[From, To any](list []From, f func(From) To) []To {
	if list == nil {
		return nil
	}
	out := make([]To, len(list))
	for i := range list {
		out[i] = f(list[i])
	}
	return out
}

// encodeMessage converts a message to its wire type.
func encodeMessage(m core.Message) gobMessage {
	return gobMessage{
		Boot:   m.Epoch,
		Gossip: encodeGossip(m.Gossip),
		Jobs:   convertSlice(m.Jobs, encodeItem),
		Slices: convertSlice(m.Assignments, encodeItem),
		Freed:  m.ReleasedShards,
		Asks:   m.GrantRequests,
		Quotas: convertSlice(m.Quotas, encodeItem),
	}
}

// decodeMessage converts a message from its wire type.
func decodeMessage(m gobMessage) core.Message {
	return core.Message{
		Epoch:          m.Boot,
		Gossip:         decodeGossip(m.Gossip),
		Jobs:           convertSlice(m.Jobs, decodeItem),
		Assignments:    convertSlice(m.Slices, decodeItem),
		ReleasedShards: m.Freed,
		GrantRequests:  m.Asks,
		Quotas:         convertSlice(m.Quotas, decodeItem),
	}
}

func encodeItem(item core.Item) gobItem {
	return gobItem{Key: item.Key, Value: item.Value, Stamp: item.Revision}
}

func decodeItem(item gobItem) core.Item {
	return core.Item{Key: item.Key, Value: item.Value, Revision: item.Stamp}
}

func encodeGossip(g *core.Gossip) *gobGossip {
	if g == nil {
		return nil
	}
	return &gobGossip{
		Seq:       g.Seq,
		Echo:      g.Received,
		Withdrawn: convertSlice(g.Cancellations, encodeItem),
		StoreOK:   g.StateServiceReachable,
		Reads:     g.ValueFormat,
		Wants:     g.CallRate,
		Parts:     convertSlice(g.Shards, encodeShard),
		Heard:     g.HeartbeatingWorkers,
		CutOff:    g.Isolated,
	}
}

func decodeGossip(g *gobGossip) *core.Gossip {
	if g == nil {
		return nil
	}
	return &core.Gossip{
		Seq:                   g.Seq,
		Received:              g.Echo,
		Cancellations:         convertSlice(g.Withdrawn, decodeItem),
		StateServiceReachable: g.StoreOK,
		ValueFormat:           g.Reads,
		CallRate:              g.Wants,
		Shards:                convertSlice(g.Parts, decodeShard),
		HeartbeatingWorkers:   g.Heard,
		Isolated:              g.CutOff,
	}
}

func encodeShard(s core.ShardView) gobShard {
	return gobShard{
		Zone:   s.Zone,
		Token:  s.Token,
		Dark:   s.NoHeartbeats,
		Hosts:  convertSlice(s.Hosts, encodeHostGroup),
		Queue:  s.Backlog,
		Images: s.Images,
		Scarce: s.OutOfCapacityKinds,
		Show:   convertSlice(s.Jobs, encodeJobCounts),
		Used:   convertMap(s.TeamUsage, encodeResources),
		Fill:   s.BackfillCores,
		Queues: convertSlice(s.Queues, encodeQueue),
	}
}

func decodeShard(s gobShard) core.ShardView {
	return core.ShardView{
		Zone:               s.Zone,
		Token:              s.Token,
		NoHeartbeats:       s.Dark,
		Hosts:              convertSlice(s.Hosts, decodeHostGroup),
		Backlog:            s.Queue,
		Images:             s.Images,
		OutOfCapacityKinds: s.Scarce,
		Jobs:               convertSlice(s.Show, decodeJobCounts),
		TeamUsage:          convertMap(s.Used, decodeResources),
		BackfillCores:      s.Fill,
		Queues:             convertSlice(s.Queues, decodeQueue),
	}
}

// convertMap applies f to each value of a map. A nil map stays nil.
func convertMap[From, To any](values map[string]From, f func(From) To) map[string]To {
	if values == nil {
		return nil
	}
	out := make(map[string]To, len(values))
	for key, value := range values {
		out[key] = f(value)
	}
	return out
}

func encodeResources(r model.Resources) gobResources {
	return gobResources{Cores: r.Cores, Cards: r.GPUs, Mem: r.MemoryGB}
}

func decodeResources(r gobResources) model.Resources {
	return model.Resources{Cores: r.Cores, GPUs: r.Cards, MemoryGB: r.Mem}
}

func encodeHostGroup(g core.HostGroup) gobHostGroup {
	return gobHostGroup{
		Type:    g.Type,
		Spot:    g.Spot,
		Count:   g.Count,
		Up:      g.ReadyInSeconds,
		Used:    encodeResources(g.Used),
		For:     g.BusySeconds,
		FetchAt: g.FetchingSeconds,
	}
}

func decodeHostGroup(g gobHostGroup) core.HostGroup {
	return core.HostGroup{
		Type:            g.Type,
		Spot:            g.Spot,
		Count:           g.Count,
		ReadyInSeconds:  g.Up,
		Used:            decodeResources(g.Used),
		BusySeconds:     g.For,
		FetchingSeconds: g.FetchAt,
	}
}

func encodeJobCounts(c core.JobCounts) gobJobCounts {
	return gobJobCounts{
		ID:       c.ID,
		Done:     c.Done,
		Running:  c.Running,
		Starting: c.Starting,
		Fetching: c.Fetching,
		Waiting:  c.Waiting,
		MissingS: c.MissingSeconds,
		Why:      c.Reason,
	}
}

func decodeJobCounts(c gobJobCounts) core.JobCounts {
	return core.JobCounts{
		ID:             c.ID,
		Done:           c.Done,
		Running:        c.Running,
		Starting:       c.Starting,
		Fetching:       c.Fetching,
		Waiting:        c.Waiting,
		MissingSeconds: c.MissingS,
		Reason:         c.Why,
	}
}

func encodeQueue(q core.Queue) gobQueue {
	return gobQueue{
		Part:  q.Shard,
		Class: q.Class,
		Team:  q.Team,
		Tally: gobTally{Up: q.Running, Starting: q.Starting, Fetching: q.Fetching, Waiting: q.Waiting},
		WaitS: q.WaitSeconds,
		Job:   q.Job,
		Why:   q.Reason,
	}
}

func decodeQueue(q gobQueue) core.Queue {
	counts := core.TaskCounts{
		Running:  q.Tally.Up,
		Starting: q.Tally.Starting,
		Fetching: q.Tally.Fetching,
		Waiting:  q.Tally.Waiting,
	}
	return core.Queue{
		Shard:       q.Part,
		Class:       q.Class,
		Team:        q.Team,
		TaskCounts:  counts,
		WaitSeconds: q.WaitS,
		Job:         q.Job,
		Reason:      q.Why,
	}
}
