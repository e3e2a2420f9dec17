package core

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// Forms of a slice's value. In formListed each placed task is an entry of its own; in
// formGrouped they are grouped by machine, as runs of tasks whose attempts run on as
// well. A controller reads both and writes the newer one only while all others say that
// they read it. One that reads only the older finds an object where it wants a list and
// takes the value for unreadable.
const (
	formListed = iota
	formGrouped
)

// placement is a task on a machine, or on the way there, by the store's word.
type placement struct {
	Index   int    `json:"i"`
	Host    string `json:"h"`
	Attempt uint64 `json:"a"`
}

// placements are a slice's placed tasks, by number.
type placements []placement

// placementRun is tasks on one machine: the first, how many follow one another, and the attempt
// of the first; those of the others follow it.
type placementRun [3]uint64

// grouped gives the tasks by machine.
func (p placements) grouped() map[string][]placementRun {
	out := map[string][]placementRun{}
	for _, t := range p {
		runs := out[t.Host]
		if n := len(runs); n > 0 {
			if r := &runs[n-1]; uint64(t.Index) == r[0]+r[1] && t.Attempt == r[2]+r[1] {
				r[1]++
				continue
			}
		}
		out[t.Host] = append(runs, placementRun{uint64(t.Index), 1, t.Attempt})
	}
	return out
}

// UnmarshalJSON reads either form.
func (p *placements) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, (*[]placement)(p))
	}
	var byHost map[string][]placementRun
	if err := json.Unmarshal(b, &byHost); err != nil {
		return err
	}
	*p = nil
	for host, runs := range byHost {
		for _, r := range runs {
			for k := range r[1] {
				*p = append(*p, placement{int(r[0] + k), host, r[2] + k})
			}
		}
	}
	slices.SortFunc(*p, func(a, b placement) int { return cmp.Compare(a.Index, b.Index) })
	return nil
}

// allPeersReadGrouped says whether all controllers read grouped values.
func (c *Core) allPeersReadGrouped() bool {
	for _, peer := range c.peers {
		if peer.gossip == nil || peer.gossip.ValueFormat < formGrouped {
			return false
		}
	}
	return true
}

// encodeAssignment is a slice's value for the store. One that outgrew the older form while
// all read the newer stays in that.
func (c *Core) encodeAssignment(v *assignmentRecord) []byte {
	if len(v.Placed) == 0 || !c.allPeersReadGrouped() {
		if b, _ := json.Marshal(v); len(v.Placed) == 0 || len(b) <= c.cfg.MaxValueBytes {
			return b
		}
	}
	b, _ := json.Marshal(struct {
		*assignmentRecord
		Placed map[string][]placementRun `json:"p"`
	}{v, v.Placed.grouped()})
	return b
}

// What the parts of a slice's value take at most, in bytes: all but the job, the tasks
// and the zones; a range beside its two numbers; a run beside its task's number and
// attempt; a machine beside its name; a zone in a job's split beside its name and range.
const (
	bytesAround  = 160
	bytesOfRange = 4
	bytesOfRun   = 6
	bytesOfHost  = 4
	bytesOfZone  = 8
)

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

func hostBytes(name string) int { return quotedBytes(name) + bytesOfHost }

func rangeBytes(j *Job) int { return 2*digits(uint64(j.spec.Tasks)) + bytesOfRange }

// taskBytes is the most that a placed task of a job takes, its machine not counted: as a
// run of its own and, when it has ended, as a range of its own.
func taskBytes(job *Job, next uint64) int {
	n := uint64(job.spec.Tasks)
	return max(digits(n)+digits(next+n)+bytesOfRun, rangeBytes(job))
}

// remainingValueBytes is what is left of a slice's value for further tasks, whatever becomes of
// those that are placed, on machines by name, and of the job.
func (c *Core) remainingValueBytes(job *Job, next uint64, ranges int, onHost map[string]int) int {
	if job.maxRecordBytes == 0 {
		b, _ := json.Marshal(job.record(""))
		job.maxRecordBytes = len(b) + bytesAround
		for _, zone := range c.zones.names {
			job.maxRecordBytes += quotedBytes(zone) + rangeBytes(job) + bytesOfZone
		}
	}
	left := c.cfg.MaxValueBytes - job.maxRecordBytes - ranges*rangeBytes(job)
	for name, n := range onHost {
		left -= hostBytes(name) + n*taskBytes(job, next)
	}
	return left
}

// sizeBudget keeps a slice's value within the limit while tasks are placed.
type sizeBudget struct {
	bytesLeft, bytesPerTask int
	tasksByHost             map[string]int
}

func (c *Core) sizeBudgetOf(assignment *Assignment) *sizeBudget {
	budget := &sizeBudget{bytesPerTask: taskBytes(assignment.job, assignment.lastAttempt), tasksByHost: map[string]int{}}
	for _, t := range assignment.tasks {
		budget.tasksByHost[t.host.name]++
	}
	budget.bytesLeft = c.remainingValueBytes(assignment.job, assignment.lastAttempt, len(assignment.waiting)+len(assignment.done), budget.tasksByHost)
	if !c.allPeersReadGrouped() { // as bounded as it is by an older form
		budget.bytesLeft = min(budget.bytesLeft, c.cfg.MaxValueBytes-len(assignment.tasks)*bytesListed)
		budget.bytesPerTask = bytesListed
	}
	return budget
}

// bytesListed is what a task takes in a value of the older form.
const bytesListed = 64

// maxTasks is how many more tasks have room, with so many on a machine.
func (b *sizeBudget) maxTasks(perHost int, longest string) int {
	perHost = min(max(perHost, 1), 64)
	return max(b.bytesLeft, 0) * perHost / (b.bytesPerTask*perHost + hostBytes(longest))
}

// take books a task on a host, if there is room for it.
func (b *sizeBudget) take(host string) bool {
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

// longestName is the longest name of the part's machines.
func (s *Shard) longestName() string {
	longest := "host-000000"
	for _, host := range s.hostsByName {
		if len(host.name) > len(longest) {
			longest = host.name
		}
	}
	return longest
}

// tasksPerUsualMachine is how many tasks of a job a machine of its usual type holds. A gang counts
// with one, since it is placed whole or not at all.
func (c *Core) tasksPerUsualMachine(job *Job) int {
	if typ := c.usualType(job); typ >= 0 && !job.spec.Gang {
		return c.tasksPerMachine(typ, job.spec.Need)
	}
	return 1
}

// maxPlacedAtOnce is how many tasks of a new job may be placed at a time in a part.
func (c *Core) maxPlacedAtOnce(job *Job) int {
	assignment := &Assignment{job: job, waiting: taskRanges{{0, job.spec.Tasks}}}
	return c.sizeBudgetOf(assignment).maxTasks(c.tasksPerUsualMachine(job), "host-000000")
}

// fitsAfterMove says whether a slice that others' tasks moved into stays within the limit,
// with room for one of them to be placed whatever else becomes of it.
func (c *Core) fitsAfterMove(job *Job, v *assignmentRecord) bool {
	onHost := map[string]int{"host-000000": 1}
	for _, t := range v.Placed {
		onHost[t.Host]++
	}
	return c.remainingValueBytes(job, v.LastAttempt, len(v.Waiting)+len(v.Done), onHost) >= 0
}
