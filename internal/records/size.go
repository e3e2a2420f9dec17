package records

import (
	"strconv"
	"strings"
)

// Maximum sizes of the elements of an assignment's JSON value. An overhead is the size of an
// element without the numbers and names named here.
const (
	assignmentOverheadBytes = 160 // the value without the job, the tasks and the zones
	rangeOverheadBytes      = 4   // a range without its two numbers
	runOverheadBytes        = 6   // a run without its task index and attempt number
	hostOverheadBytes       = 4   // a host's entry without its name and runs
	zoneOverheadBytes       = 8   // a zone's entry in a job's split without its name and range
	listedTaskBytes         = 64  // a placed task in the listed format
)

// PlaceholderHost replaces the name of a host that has not been chosen yet when sizes are computed.
// Usual host names are no longer than it.
const PlaceholderHost = "host-000000"

// maxTasksPerHost bounds how many tasks are assumed to share a host's entry in MaxTasks.
const maxTasksPerHost = 64

// digitCount returns the number of decimal digits of n.
func digitCount(n uint64) int { return len(strconv.FormatUint(n, 10)) }

// maxQuotedBytes returns the maximum size of a name as a JSON string, where some characters are
// written as escapes of 6 bytes.
func maxQuotedBytes(name string) int {
	n := 2
	for _, b := range []byte(name) {
		if b < ' ' || b > '~' || strings.IndexByte(`"\<>&`, b) >= 0 {
			n += 5
		}
		n++
	}
	return n
}

// maxHostBytes returns the maximum size of a host's entry without its runs.
func maxHostBytes(name string) int { return maxQuotedBytes(name) + hostOverheadBytes }

// maxRangeBytes returns the maximum size of a range of a job with so many tasks.
func maxRangeBytes(tasks int) int { return 2*digitCount(uint64(tasks)) + rangeOverheadBytes }

// maxTaskBytes returns the maximum size of a placed task without its host's entry: the larger
// of a run of its own and, once it has ended, a range of its own. Its attempt number is at most
// lastAttempt plus one further attempt per task of the job.
func maxTaskBytes(tasks int, lastAttempt uint64) int {
	n := uint64(tasks)
	return max(digitCount(n)+digitCount(lastAttempt+n)+runOverheadBytes, maxRangeBytes(tasks))
}

// MaxJobBytes returns the maximum size of an assignment's value without its tasks, however the
// job's tasks move between zones.
func MaxJobBytes(job *Job, zones []string) int {
	n := len(job.Encode()) + assignmentOverheadBytes
	for _, zone := range zones {
		n += maxQuotedBytes(zone) + maxRangeBytes(job.Spec.Tasks) + zoneOverheadBytes
	}
	return n
}

// Size is the input for the maximum size of an assignment's value.
type Size struct {
	LimitBytes   int            // maximum size of a value
	JobBytes     int            // from MaxJobBytes
	JobTasks     int            // number of tasks in the whole job
	LastAttempt  uint64         // highest attempt number assigned so far
	RangeCount   int            // number of ranges of waiting and done tasks
	PlacedByHost map[string]int // number of placed tasks by host
}

// BytesLeft returns the bytes that remain for placing further tasks, whichever of the placed
// tasks end and however the job's tasks move. It is negative if the value might exceed its
// limit.
func (s Size) BytesLeft() int {
	bytesLeft := s.LimitBytes - s.JobBytes - s.RangeCount*maxRangeBytes(s.JobTasks)
	for host, n := range s.PlacedByHost {
		bytesLeft -= maxHostBytes(host) + n*maxTaskBytes(s.JobTasks, s.LastAttempt)
	}
	return bytesLeft
}

// SizeBudget tracks the bytes that remain in an assignment's value while tasks are placed, so
// that it stays within its limit.
type SizeBudget struct {
	bytesLeft, bytesPerTask int
	tasksByHost             map[string]int // number of placed tasks by host, reservations included
}

// NewSizeBudget returns the budget of an assignment whose value will be written in the given
// format. The budget takes ownership of size.PlacedByHost.
func NewSizeBudget(size Size, format Format) *SizeBudget {
	b := &SizeBudget{
		bytesLeft:    size.BytesLeft(),
		bytesPerTask: maxTaskBytes(size.JobTasks, size.LastAttempt),
		tasksByHost:  size.PlacedByHost,
	}
	if format == FormatListed {
		placed := 0
		for _, n := range size.PlacedByHost {
			placed += n
		}
		b.bytesLeft = min(b.bytesLeft, size.LimitBytes-placed*listedTaskBytes)
		b.bytesPerTask = listedTaskBytes
	}
	return b
}

// MaxTasks returns how many more tasks fit if perHost of them share a host and no host's name
// is longer than longestName.
func (b *SizeBudget) MaxTasks(perHost int, longestName string) int {
	perHost = min(max(perHost, 1), maxTasksPerHost)
	return max(b.bytesLeft, 0) * perHost / (b.bytesPerTask*perHost + maxHostBytes(longestName))
}

// Reserve reserves the bytes for one task on a host, and reports whether they were available.
func (b *SizeBudget) Reserve(host string) bool {
	need := b.bytesPerTask
	if b.tasksByHost[host] == 0 {
		need += maxHostBytes(host)
	}
	if need > b.bytesLeft {
		return false
	}
	b.bytesLeft -= need
	b.tasksByHost[host]++
	return true
}
