package core

// TaskCounts counts tasks by how far they have come.
type TaskCounts struct {
	Running  int `json:"up"`       // running, or saving a checkpoint
	Starting int `json:"starting"` // placed, not reported by their worker as running or fetching
	Fetching int `json:"fetching"` // on a machine, waiting for their image
	Waiting  int `json:"waiting"`  // not placed
}

// missing is how many tasks should run and do not.
func (n TaskCounts) missing() int { return n.Starting + n.Fetching + n.Waiting }

// Add adds other counts.
func (n *TaskCounts) Add(other TaskCounts) {
	n.Running += other.Running
	n.Starting += other.Starting
	n.Fetching += other.Fetching
	n.Waiting += other.Waiting
}

// counts counts the assignment's tasks that are not done.
func (a *Assignment) counts() TaskCounts {
	counts := TaskCounts{Waiting: a.waiting.Count()}
	for _, task := range a.tasks {
		switch task.state {
		case TaskRunning, TaskSaving:
			counts.Running++
		case TaskFetching:
			counts.Fetching++
		default:
			counts.Starting++
		}
	}
	return counts
}

// trackMissing notes since when some of an assignment's tasks have not been running. It is
// called with each gossip; a new assignment begins with the time of its job.
func (c *Core) trackMissing(assignment *Assignment, counts TaskCounts) {
	switch {
	case counts.missing() == 0:
		assignment.missingSince = 0
	case assignment.missingSince == 0:
		assignment.missingSince = c.now
	}
}

// missingSeconds is for how long some of an assignment's tasks have not been running.
func (c *Core) missingSeconds(assignment *Assignment) float64 {
	if assignment.missingSince == 0 {
		return 0
	}
	return seconds(c.now - assignment.missingSince)
}
