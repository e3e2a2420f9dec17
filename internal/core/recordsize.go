package core

import "roadcleat/internal/records"

// valueFormat is the newest format of assignments that all controllers read.
func (c *Core) valueFormat() records.Format {
	for _, peer := range c.peers {
		if peer.gossip == nil || records.Format(peer.gossip.ValueFormat) < records.FormatGrouped {
			return records.FormatListed
		}
	}
	return records.FormatGrouped
}

func (c *Core) encodeAssignment(record *records.Assignment) []byte {
	return record.Encode(c.valueFormat(), c.cfg.MaxValueBytes)
}

// recordSize is what the size of an assignment's record follows from: the job, the last
// attempt given out, the ranges of waiting and done tasks, and the placed tasks by host.
func (c *Core) recordSize(job *Job, lastAttempt uint64, ranges int, placedOn map[string]int) records.Size {
	if job.maxRecordBytes == 0 {
		job.maxRecordBytes = records.MaxJobBytes(job.record(""), c.zones.names)
	}
	return records.Size{
		Limit:       c.cfg.MaxValueBytes,
		JobBytes:    job.maxRecordBytes,
		Tasks:       job.spec.Tasks,
		LastAttempt: lastAttempt,
		Ranges:      ranges,
		PlacedOn:    placedOn,
	}
}

// sizeBudgetOf bounds how many more tasks of an assignment may be placed.
func (c *Core) sizeBudgetOf(assignment *Assignment) *records.SizeBudget {
	placedOn := map[string]int{}
	for _, task := range assignment.tasks {
		placedOn[task.host.name]++
	}
	ranges := len(assignment.waiting) + len(assignment.done)
	size := c.recordSize(assignment.job, assignment.lastAttempt, ranges, placedOn)
	return records.NewSizeBudget(size, c.valueFormat())
}

// longestHostName is the longest name of the shard's machines.
func (s *Shard) longestHostName() string {
	longest := records.UnknownHost
	for _, host := range s.hostsByName {
		if len(host.name) > len(longest) {
			longest = host.name
		}
	}
	return longest
}

// tasksPerUsualMachine is how many tasks of a job a machine of its usual type holds. A gang
// counts with one, since it is placed whole or not at all.
func (c *Core) tasksPerUsualMachine(job *Job) int {
	if typ := c.usualType(job); typ >= 0 && !job.spec.Gang {
		return c.tasksPerMachine(typ, job.spec.Need)
	}
	return 1
}

// maxPlacedAtOnce is how many tasks of a new job may be placed at a time in a shard.
func (c *Core) maxPlacedAtOnce(job *Job) int {
	assignment := &Assignment{job: job, waiting: records.TaskRanges{{0, job.spec.Tasks}}}
	return c.sizeBudgetOf(assignment).MaxTasks(c.tasksPerUsualMachine(job), records.UnknownHost)
}

// fitsAfterMove reports whether an assignment that tasks were moved into stays within the
// limit, with room for one of them to be placed whatever else becomes of it.
func (c *Core) fitsAfterMove(job *Job, record *records.Assignment) bool {
	placedOn := map[string]int{records.UnknownHost: 1}
	for _, placement := range record.Placed {
		placedOn[placement.Host]++
	}
	ranges := len(record.Waiting) + len(record.Done)
	return c.recordSize(job, record.LastAttempt, ranges, placedOn).BytesLeft() >= 0
}

// CountPlaced says how many tasks have a machine in an assignment's value, for those who
// watch the state service. It is 0 for a value that cannot be read.
func CountPlaced(value []byte) int {
	record, err := records.DecodeAssignment(value)
	if err != nil {
		return 0
	}
	return len(record.Placed)
}
