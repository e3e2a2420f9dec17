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

// placed is a task on a machine, or on the way there, by the store's word.
type placed struct {
	Index   int    `json:"i"`
	Host    string `json:"h"`
	Attempt uint64 `json:"a"`
}

// placedTasks are a slice's placed tasks, by number.
type placedTasks []placed

// run is tasks on one machine: the first, how many follow one another, and the attempt
// of the first; those of the others follow it.
type run [3]uint64

// grouped gives the tasks by machine.
func (p placedTasks) grouped() map[string][]run {
	out := map[string][]run{}
	for _, t := range p {
		runs := out[t.Host]
		if n := len(runs); n > 0 {
			if r := &runs[n-1]; uint64(t.Index) == r[0]+r[1] && t.Attempt == r[2]+r[1] {
				r[1]++
				continue
			}
		}
		out[t.Host] = append(runs, run{uint64(t.Index), 1, t.Attempt})
	}
	return out
}

// UnmarshalJSON reads either form.
func (p *placedTasks) UnmarshalJSON(b []byte) error {
	if bytes.HasPrefix(b, []byte("[")) {
		return json.Unmarshal(b, (*[]placed)(p))
	}
	var byHost map[string][]run
	if err := json.Unmarshal(b, &byHost); err != nil {
		return err
	}
	*p = nil
	for host, runs := range byHost {
		for _, r := range runs {
			for k := range r[1] {
				*p = append(*p, placed{int(r[0] + k), host, r[2] + k})
			}
		}
	}
	slices.SortFunc(*p, func(a, b placed) int { return cmp.Compare(a.Index, b.Index) })
	return nil
}

// allReadGrouped says whether all controllers read grouped values.
func (c *Core) allReadGrouped() bool {
	for _, q := range c.peers {
		if q.gossip == nil || q.gossip.Reads < formGrouped {
			return false
		}
	}
	return true
}

// encodeSlice is a slice's value for the store. One that outgrew the older form while
// all read the newer stays in that.
func (c *Core) encodeSlice(v *sliceValue) []byte {
	if len(v.Placed) == 0 || !c.allReadGrouped() {
		if b, _ := json.Marshal(v); len(v.Placed) == 0 || len(b) <= c.cfg.ValueBytes {
			return b
		}
	}
	b, _ := json.Marshal(struct {
		*sliceValue
		Placed map[string][]run `json:"p"`
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

func rangeBytes(j *job) int { return 2*digits(uint64(j.spec.Tasks)) + bytesOfRange }

// taskBytes is the most that a placed task of a job takes, its machine not counted: as a
// run of its own and, when it has ended, as a range of its own.
func taskBytes(j *job, next uint64) int {
	n := uint64(j.spec.Tasks)
	return max(digits(n)+digits(next+n)+bytesOfRun, rangeBytes(j))
}

// bytesLeft is what is left of a slice's value for further tasks, whatever becomes of
// those that are placed, on machines by name, and of the job.
func (c *Core) bytesLeft(j *job, next uint64, ranges int, onHost map[string]int) int {
	if j.bytes == 0 {
		b, _ := json.Marshal(j.stored(""))
		j.bytes = len(b) + bytesAround
		for _, zone := range c.zones.list {
			j.bytes += quotedBytes(zone) + rangeBytes(j) + bytesOfZone
		}
	}
	left := c.cfg.ValueBytes - j.bytes - ranges*rangeBytes(j)
	for name, n := range onHost {
		left -= hostBytes(name) + n*taskBytes(j, next)
	}
	return left
}

// ledger keeps a slice's value within the limit while tasks are placed.
type ledger struct {
	left, task int
	onHost     map[string]int
}

func (c *Core) ledgerOf(s *slice) *ledger {
	l := &ledger{task: taskBytes(s.job, s.next), onHost: map[string]int{}}
	for _, t := range s.tasks {
		l.onHost[t.host.name]++
	}
	l.left = c.bytesLeft(s.job, s.next, len(s.waiting)+len(s.done), l.onHost)
	if !c.allReadGrouped() { // as bounded as it is by an older form
		l.left = min(l.left, c.cfg.ValueBytes-len(s.tasks)*bytesListed)
		l.task = bytesListed
	}
	return l
}

// bytesListed is what a task takes in a value of the older form.
const bytesListed = 64

// most is how many more tasks have room, with so many on a machine.
func (l *ledger) most(perHost int, longest string) int {
	perHost = min(max(perHost, 1), 64)
	return max(l.left, 0) * perHost / (l.task*perHost + hostBytes(longest))
}

// take books a task on a host, if there is room for it.
func (l *ledger) take(host string) bool {
	need := l.task
	if l.onHost[host] == 0 {
		need += hostBytes(host)
	}
	if need > l.left {
		return false
	}
	l.left -= need
	l.onHost[host]++
	return true
}

// longestName is the longest name of the part's machines.
func (p *part) longestName() string {
	longest := "host-000000"
	for _, h := range p.order {
		if len(h.name) > len(longest) {
			longest = h.name
		}
	}
	return longest
}

// perHost is how many tasks of a job a machine of its usual type holds. A gang counts
// with one, since it is placed whole or not at all.
func (c *Core) perHost(j *job) int {
	if typ := c.usualType(j); typ >= 0 && !j.spec.Gang {
		return c.holds(typ, j.spec.Need)
	}
	return 1
}

// placedAtOnce is how many tasks of a new job may be placed at a time in a part.
func (c *Core) placedAtOnce(j *job) int {
	s := &slice{job: j, waiting: ranges{{0, j.spec.Tasks}}}
	return c.ledgerOf(s).most(c.perHost(j), "host-000000")
}

// holdsMoved says whether a slice that others' tasks moved into stays within the limit,
// with room for one of them to be placed whatever else becomes of it.
func (c *Core) holdsMoved(j *job, v *sliceValue) bool {
	onHost := map[string]int{"host-000000": 1}
	for _, t := range v.Placed {
		onHost[t.Host]++
	}
	return c.bytesLeft(j, v.Next, len(v.Waiting)+len(v.Done), onHost) >= 0
}
