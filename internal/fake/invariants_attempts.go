package fake

// attemptStarted checks that an attempt starts only once, whatever its worker has forgotten: a second
// start is that of a launch which was executed before. Attempt numbers never repeat.
func (c *InvariantChecker) attemptStarted(key attemptKey, worker *Worker) {
	if c.attemptStarts[key]++; c.attemptStarts[key] > 1 {
		c.recordViolation("started_again", "attempt %d of %v starts again, on %s", key.number, key.TaskID, worker.name)
	}
}
