package core

import "time"

// clockJumpGap is the gap between two events, which come every few hundredths of a second,
// that can only mean that the process did not run.
const clockJumpGap = time.Second

// advanceClock lets time pass.
func (c *Core) advanceClock(now time.Duration) {
	if now <= c.now {
		return
	}
	gap := now - c.now
	first := c.now == 0
	c.now = now
	if !first && gap > clockJumpGap {
		c.handleClockJump(gap)
	}
}

// handleClockJump corrects what rests on time in which this controller's clock ran on but
// nothing was read: no worker was silent to it, no machine overdue and none idle. What rests
// on what others did meanwhile needs no correction: leases of workers expire by their own
// clocks, and whoever claimed a shard has changed the key that every transaction compares.
func (c *Core) handleClockJump(gap time.Duration) {
	c.clockJumpAt = c.now
	c.warn("clock jump: the process did not run", "for", seconds(gap))
	for _, shard := range c.shards {
		if !shard.claim.Owned() {
			continue
		}
		shard.lastHeartbeatAt += gap
		shard.claim.ResetHome()
		for i := range shard.demandSamples {
			shard.demandSamples[i].at += gap
		}
		for _, host := range shard.hosts {
			host.notListening += gap
			host.unansweredCalls = 0 // calls whose answers were never read prove nothing
			host.giveUpAt += gap
			host.idleSince += gap
		}
	}
}

// timer is something to do later.
type timer struct {
	at  time.Duration
	run func()
}

// after runs f at the first tick after d.
func (c *Core) after(d time.Duration, f func()) { c.timers = append(c.timers, timer{c.now + d, f}) }

// runTimers runs what is due, and keeps the rest in order.
func (c *Core) runTimers() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if c.now >= t.at {
			t.run()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// duration is a number of seconds, three years at most: sums of what users state must not
// overflow.
func duration(s float64) time.Duration {
	const most = 1e8
	return time.Duration(min(max(s, -most), most) * float64(time.Second))
}

// wholeTasks is a number of tasks as a whole number; what tiny amounts make of it must not
// overflow.
func wholeTasks(x float64) int {
	const most = 1 << 30
	if x < most {
		return int(max(x, -most))
	}
	return most
}
