package records

import (
	"strconv"
	"strings"
)

// What the elements of an assignment's value take at most, in bytes.
const (
	frameBytes  = 160 // all but the job, the tasks and the zones
	rangeFrame  = 4   // a range beside its two numbers
	runFrame    = 6   // a run beside its task's number and attempt
	hostFrame   = 4   // a machine beside its name
	zoneFrame   = 8   // a zone in a job's split beside its name and range
	listedBytes = 64  // a task in the listed format
)

// UnknownHost stands for a machine whose name is not known yet. Names are no longer.
const UnknownHost = "host-000000"

// maxTasksPerHost bounds what is reckoned to share a machine, and so the entry of one.
const maxTasksPerHost = 64

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

// quotedBytes is the most that a name takes as a JSON string.
func quotedBytes(name string) int {
	n := 2
	for _, b := range []byte(name) {
		if b < ' ' || b > '~' || strings.IndexByte(`"\<>&`, b) >= 0 {
			n += 5
		}
		n++
	}
	return n
}

func hostBytes(name string) int { return quotedBytes(name) + hostFrame }

func rangeBytes(tasks int) int { return 2*digits(uint64(tasks)) + rangeFrame }

// taskBytes is the most that a placed task takes, its machine not counted: as a run of its
// own and, when it has ended, as a range of its own.
func taskBytes(tasks int, lastAttempt uint64) int {
	n := uint64(tasks)
	return max(digits(n)+digits(lastAttempt+n)+runFrame, rangeBytes(tasks))
}

// MaxJobBytes is the most that a job takes within an assignment's value, everything but the
// tasks included, however its tasks move among the zones.
func MaxJobBytes(job *Job, zones []string) int {
	n := len(job.Encode()) + frameBytes
	for _, zone := range zones {
		n += quotedBytes(zone) + rangeBytes(job.Spec.Tasks) + zoneFrame
	}
	return n
}

// Size is what the size of an assignment's value follows from.
type Size struct {
	Limit       int            // bytes that a value may have
	JobBytes    int            // see MaxJobBytes
	Tasks       int            // of the whole job
	LastAttempt uint64         // given out
	Ranges      int            // of waiting and done tasks
	PlacedOn    map[string]int // placed tasks by machine
}

// BytesLeft is what is left of the value for further tasks, whatever becomes of those that
// are placed, and of the job. It is negative if the value might outgrow its limit.
func (s Size) BytesLeft() int {
	left := s.Limit - s.JobBytes - s.Ranges*rangeBytes(s.Tasks)
	for host, n := range s.PlacedOn {
		left -= hostBytes(host) + n*taskBytes(s.Tasks, s.LastAttempt)
	}
	return left
}

// SizeBudget keeps an assignment's value within its limit while tasks are placed.
type SizeBudget struct {
	bytesLeft, bytesPerTask int
	tasksByHost             map[string]int
}

// NewSizeBudget is the budget of an assignment whose value will be written in the format
// given. It takes over PlacedOn.
func NewSizeBudget(size Size, format Format) *SizeBudget {
	b := &SizeBudget{
		bytesLeft:    size.BytesLeft(),
		bytesPerTask: taskBytes(size.Tasks, size.LastAttempt),
		tasksByHost:  size.PlacedOn,
	}
	if format == FormatListed {
		placed := 0
		for _, n := range size.PlacedOn {
			placed += n
		}
		b.bytesLeft = min(b.bytesLeft, size.Limit-placed*listedBytes)
		b.bytesPerTask = listedBytes
	}
	return b
}

// MaxTasks is how many more tasks have room, with so many on a machine, where no machine's
// name is longer than the one given.
func (b *SizeBudget) MaxTasks(perHost int, longestName string) int {
	perHost = min(max(perHost, 1), maxTasksPerHost)
	return max(b.bytesLeft, 0) * perHost / (b.bytesPerTask*perHost + hostBytes(longestName))
}

// Take books a task on a machine, and reports whether there was room for it.
func (b *SizeBudget) Take(host string) bool {
	need := b.bytesPerTask
	if b.tasksByHost[host] == 0 {
		need += hostBytes(host)
	}
	if need > b.bytesLeft {
		return false
	}
	b.bytesLeft -= need
	b.tasksByHost[host]++
	return true
}
