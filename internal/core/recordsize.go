package core

import "roadcleat/internal/records"

// valueFormat returns the newest assignment format that all controllers can read. A peer
// without gossip yet counts as reading only the listed format.
func (c *Core) valueFormat() records.Format {
	for _, peer := range c.peers {
		if peer.gossip == nil || records.Format(peer.gossip.ValueFormat) < records.FormatGrouped {
			return records.FormatListed
		}
	}
	return records.FormatGrouped
}

// encodeAssignment returns an assignment's value in the format that all controllers can read.
func (c *Core) encodeAssignment(record *records.Assignment) []byte {
	return record.Encode(c.valueFormat(), c.cfg.MaxValueBytes)
}

// recordSize returns the inputs from which the size of an assignment's record is bounded: the
// job, the highest attempt number, the number of ranges of waiting and done tasks, and the
// number of placed tasks by host.
func (c *Core) recordSize(job *Job, lastAttempt uint64, ranges int, placedOn map[string]int) records.Size {
	if job.maxRecordBytes == 0 {
		job.maxRecordBytes = records.MaxJobBytes(job.record(""), c.zones.names)
	}
	return records.Size{
		LimitBytes:   c.cfg.MaxValueBytes,
		JobBytes:     job.maxRecordBytes,
		JobTasks:     job.spec.Tasks,
		LastAttempt:  lastAttempt,
		RangeCount:   ranges,
		PlacedByHost: placedOn,
	}
}

// sizeBudgetOf returns the budget that bounds how many more tasks of an assignment may be
// placed without its record exceeding the size limit.
func (c *Core) sizeBudgetOf(assignment *Assignment) *records.SizeBudget {
	placedOn := map[string]int{}
	for _, task := range assignment.tasks {
		placedOn[task.host.name]++
	}
	ranges := len(assignment.waiting) + len(assignment.done)
	size := c.recordSize(assignment.job, assignment.lastAttempt, ranges, placedOn)
	return records.NewSizeBudget(size, c.valueFormat())
}

// longestHostName returns the longest name of the shard's hosts, or the placeholder name if
// none is longer.
func (s *Shard) longestHostName() string {
	longest := records.PlaceholderHost
	for _, host := range s.hostsByName {
		if len(host.name) > len(longest) {
			longest = host.name
		}
	}
	return longest
}

// tasksPerPreferredHost returns how many tasks of a job fit on a host of the type that is
// usually rented for it. A gang counts as one task per host, the most expensive case for the
// record's size, because it must be placed as a whole or not at all.
func (c *Core) tasksPerPreferredHost(job *Job) int {
	if typ := c.preferredMachineType(job); typ >= 0 && !job.spec.Gang {
		return c.tasksPerMachine(typ, job.spec.TaskResources)
	}
	return 1
}

// maxPlacedAtOnce returns how many tasks of a new job can be placed in one shard at the same
// time within the record size limit.
func (c *Core) maxPlacedAtOnce(job *Job) int {
	assignment := &Assignment{job: job, waiting: records.TaskRanges{{0, job.spec.Tasks}}}
	return c.sizeBudgetOf(assignment).MaxTasks(c.tasksPerPreferredHost(job), records.PlaceholderHost)
}

// fitsAfterMove reports whether an assignment that received moved tasks stays within the record
// size limit, including space for one of them to be placed, whichever tasks end or move later.
func (c *Core) fitsAfterMove(job *Job, record *records.Assignment) bool {
	placedOn := map[string]int{records.PlaceholderHost: 1}
	for _, placement := range record.Placed {
		placedOn[placement.Host]++
	}
	ranges := len(record.Waiting) + len(record.Done)
	return c.recordSize(job, record.LastAttempt, ranges, placedOn).BytesLeft() >= 0
}

// CountPlaced returns the number of placed tasks in an assignment's value, for monitoring of
// the state service. It returns 0 for a value that cannot be read.
func CountPlaced(value []byte) int {
	record, err := records.DecodeAssignment(value)
	if err != nil {
		return 0
	}
	return len(record.Placed)
}
