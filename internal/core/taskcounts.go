package core

// TaskCounts counts tasks by their progress.
type TaskCounts struct {
	Running  int `json:"up"`       // running, or saving a checkpoint
	Starting int `json:"starting"` // placed, but not reported as running or fetching by their worker
	Fetching int `json:"fetching"` // on a machine, waiting for their image
	Waiting  int `json:"waiting"`  // not placed
}

// missing returns the number of tasks that should run and do not.
func (n TaskCounts) missing() int { return n.Starting + n.Fetching + n.Waiting }

// Add adds other counts.
func (n *TaskCounts) Add(other TaskCounts) {
	n.Running += other.Running
	n.Starting += other.Starting
	n.Fetching += other.Fetching
	n.Waiting += other.Waiting
}

// counts counts the assignment's tasks that are not completed.
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

// updateMissingSince updates the time since when some of an assignment's tasks have not been
// running. It is called when the assignment's counts for gossip are computed. In a new assignment
// that time is when this controller first observed the job.
func (c *Core) updateMissingSince(assignment *Assignment, counts TaskCounts) {
	switch {
	case counts.missing() == 0:
		assignment.missingSince = 0
	case assignment.missingSince == 0:
		assignment.missingSince = c.now
	}
}

// missingSeconds returns for how long some of an assignment's tasks have not been running.
func (c *Core) missingSeconds(assignment *Assignment) float64 {
	if assignment.missingSince == 0 {
		return 0
	}
	return toSeconds(c.now - assignment.missingSince)
}
