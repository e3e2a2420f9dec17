package core

import "time"

// minClockJump is the time between two events above which the process must have been paused.
// Events normally arrive every few hundredths of a second.
const minClockJump = time.Second

// advanceClock sets the current time. It never moves backwards. A jump is taken for a pause of the
// process.
func (c *Core) advanceClock(now time.Duration) {
	if now <= c.now {
		return
	}
	gap := now - c.now
	isFirstEvent := c.now == 0
	c.now = now
	if !isFirstEvent && gap > minClockJump {
		c.handleClockJump(gap)
	}
}

// handleClockJump shifts the timestamps from which this controller concludes that a worker is
// silent, a machine overdue or a machine idle: during the pause the clock advanced, but nothing
// was received. State that other processes changed during the pause needs no correction: workers
// expire their leases by their own clocks, and a controller that claimed a shard has changed the
// key that every transaction of the former owner compares.
func (c *Core) handleClockJump(gap time.Duration) {
	c.clockJumpAt = c.now
	c.warn("clock jump: the process was paused", "for", toSeconds(gap))
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		shard.lastContactAt += gap
		shard.claim.ResetHomeHealth()
		for i := range shard.demandSamples {
			shard.demandSamples[i].at += gap
		}
		for _, host := range shard.hosts {
			host.pausedSinceContact += gap
			host.unansweredCalls = 0 // responses may have arrived unread during the pause
			host.bootDeadline += gap
			host.idleSince += gap
		}
	}
}

// timer is a callback that runs at the first tick at or after dueAt.
type timer struct {
	dueAt    time.Duration
	callback func()
}

// runAfter schedules a callback for the first tick once the delay has passed.
func (c *Core) runAfter(delay time.Duration, callback func()) {
	c.timers = append(c.timers, timer{c.now + delay, callback})
}

// runTimers runs the callbacks that are due and keeps the other timers in order.
func (c *Core) runTimers() {
	pending := c.timers
	c.timers = nil
	for _, t := range pending {
		if c.now >= t.dueAt {
			t.callback()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// toSeconds converts a duration to seconds.
func toSeconds(d time.Duration) float64 { return d.Seconds() }

// secondsToDuration converts a number of seconds to a duration and limits it to about three years,
// so that sums of durations that users state cannot overflow.
func secondsToDuration(s float64) time.Duration {
	const maxSeconds = 1e8
	return time.Duration(min(max(s, -maxSeconds), maxSeconds) * float64(time.Second))
}

// clampTaskCount converts a number of tasks to an integer, rounded towards zero, and limits it:
// a capacity divided by a tiny amount per task must not overflow the integer. NaN, the
// result of 0/0, gives the upper limit.
func clampTaskCount(tasks float64) int {
	const maxTasks = 1 << 30
	if tasks < maxTasks {
		return int(max(tasks, -maxTasks))
	}
	return maxTasks
}
