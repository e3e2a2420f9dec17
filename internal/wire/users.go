// Package wire turns the protocol's JSON messages into the core's terms and
// back. The protocol's own words are used nowhere else.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"roadcleat/internal/core"
)

// MaxBody is the largest request body of the protocol.
const MaxBody = 64 << 10

// refForm is the form of every job id.
var refForm = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidRef says whether s has the form of a job id.
func ValidRef(s string) bool { return refForm.MatchString(s) }

type run struct {
	Ref       *string
	Docket    *string
	Desk      *string
	Form      *string
	Urgency   *string
	Sheets    *int
	Cores     *float64
	Cards     *float64
	MemGb     *float64
	Build     *string
	PullGb    *float64
	Breeds    []string
	Yard      *string
	OneZone   *bool
	Apart     *bool
	Loaners   *bool
	ExpectedS *float64
	BookmarkS *float64
	StowS     *float64
	DueS      *float64
}

var urgencies = map[string]int{"production": 0, "high": 1, "normal": 2, "low": 3}

const (
	formArray  = "array"
	formDaemon = "daemon"
	formGang   = "ensemble"
	maxTasks   = 100000
	maxAmount  = 1e9
)

// DecodeRun reads a submission. When the body is malformed the error says how,
// and the spec still carries the job's id if that much could be read.
func DecodeRun(body []byte) (core.Spec, error) {
	var spec core.Spec
	var ref struct{ Ref *string }
	_ = json.Unmarshal(body, &ref) // an error here comes up again below
	if ref.Ref != nil && ValidRef(*ref.Ref) {
		spec.ID = *ref.Ref
	}
	if t := bytes.TrimSpace(body); len(t) == 0 || t[0] != '{' {
		return spec, fmt.Errorf("not a JSON object")
	}
	var r run
	if err := json.Unmarshal(body, &r); err != nil {
		return spec, fmt.Errorf("malformed: %w", err)
	}
	if spec.ID == "" {
		return spec, fmt.Errorf("Ref: missing or of a wrong form")
	}
	for _, f := range []struct {
		name string
		have bool
	}{
		{"Docket", r.Docket != nil}, {"Desk", r.Desk != nil}, {"Form", r.Form != nil}, {"Urgency", r.Urgency != nil},
		{"Sheets", r.Sheets != nil}, {"Build", r.Build != nil}, {"OneZone", r.OneZone != nil},
		{"Apart", r.Apart != nil}, {"Loaners", r.Loaners != nil},
	} {
		if !f.have {
			return spec, fmt.Errorf("%s: missing", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    *float64
		to   *float64
	}{
		{"Cores", r.Cores, &spec.Need.Cores}, {"Cards", r.Cards, &spec.Need.Cards}, {"MemGb", r.MemGb, &spec.Need.Mem},
		{"PullGb", r.PullGb, &spec.ImageGB}, {"ExpectedS", r.ExpectedS, &spec.Estimate},
		{"BookmarkS", r.BookmarkS, &spec.Checkpoint}, {"StowS", r.StowS, &spec.Save},
	} {
		if f.v == nil {
			return spec, fmt.Errorf("%s: missing", f.name)
		}
		if badAmount(*f.v) {
			return spec, fmt.Errorf("%s: not an amount", f.name)
		}
		*f.to = *f.v
	}
	if r.DueS != nil {
		if badAmount(*r.DueS) {
			return spec, fmt.Errorf("DueS: not an amount")
		}
		spec.Deadline = *r.DueS
	}
	prio, ok := urgencies[*r.Urgency]
	switch {
	case !ok:
		return spec, fmt.Errorf("Urgency: unknown value")
	case *r.Form != formArray && *r.Form != formDaemon && *r.Form != formGang:
		return spec, fmt.Errorf("Form: unknown value")
	case *r.Sheets < 1 || *r.Sheets > maxTasks:
		return spec, fmt.Errorf("Sheets: must be from 1 to %d", maxTasks)
	case *r.Desk == "":
		return spec, fmt.Errorf("Desk: empty")
	}
	spec.Class, spec.Team, spec.Service, spec.Priority = *r.Docket, *r.Desk, *r.Form == formDaemon, prio
	spec.Gang = *r.Form == formGang
	spec.Tasks, spec.Types, spec.Image = *r.Sheets, r.Breeds, *r.Build
	spec.OneZone, spec.Apart, spec.Spot = *r.OneZone, *r.Apart, *r.Loaners
	if r.Yard != nil {
		spec.Zone = *r.Yard
	}
	return spec, nil
}

func badAmount(v float64) bool { return math.IsNaN(v) || v < 0 || v > maxAmount }

type standing struct {
	Ref      string
	Standing string
	Done     int `json:"done"`
	Running  int `json:"running"`
}

// EncodeRun writes a job's state as users see it.
func EncodeRun(r core.RunState) []byte {
	s := standing{Ref: r.ID, Done: r.Done, Running: r.Running}
	switch r.Standing {
	case core.Active:
		s.Standing = "running"
	case core.Complete:
		s.Standing = "done"
	case core.Withdrawn:
		s.Standing = "withdrawn"
	default:
		s.Standing = "pending"
	}
	b, _ := json.Marshal(s)
	return b
}

// taskName writes a task's name; parseTask reads it.
func taskName(t core.TaskID) string { return t.Job + "/" + strconv.Itoa(t.Index) }

func parseTask(s string) (core.TaskID, bool) {
	job, idx, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(idx)
	return core.TaskID{Job: job, Index: i}, ok && err == nil && i >= 0
}
