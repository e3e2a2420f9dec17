// Package wire turns the protocol's JSON messages into the core's terms and
// back. The protocol's own words are used nowhere else.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"roadcleat/internal/model"
	"slices"
	"strconv"
	"strings"
)

// MaxBody is the largest request body of the protocol.
const MaxBody = 64 << 10

// jobIDForm is the form of every job id.
var jobIDForm = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidJobID says whether s has the form of a job id.
func ValidJobID(s string) bool { return jobIDForm.MatchString(s) }

var urgencies = map[string]int{"production": 0, "high": 1, "normal": 2, "low": 3}

const (
	formArray  = "array"
	formDaemon = "daemon"
	formGang   = "ensemble"
	maxTasks   = 100000
	maxAmount  = 1e9
)

// DecodeSubmission reads a submission. When the body is malformed the error names the field
// and what is wrong with it, and the spec still carries the job's id if that much could
// be read: the job may be known.
func DecodeSubmission(body []byte) (model.JobSpec, error) {
	var spec model.JobSpec
	m, err := members(body)
	if ref := ""; json.Unmarshal(m["Ref"], &ref) == nil && ValidJobID(ref) {
		spec.ID = ref
	}
	if err != nil {
		return spec, err
	}
	if spec.ID == "" {
		return spec, fmt.Errorf("Ref: missing or of a wrong form")
	}
	var form, urgency string
	for _, f := range []struct {
		name string
		to   any
	}{
		{"Docket", &spec.Class}, {"Desk", &spec.Team}, {"Form", &form}, {"Urgency", &urgency}, {"Sheets", &spec.Tasks},
		{"Cores", &spec.Need.Cores}, {"Cards", &spec.Need.GPUs}, {"MemGb", &spec.Need.MemoryGB}, {"Build", &spec.Image},
		{"PullGb", &spec.ImageGB}, {"OneZone", &spec.OneZone}, {"Apart", &spec.SpreadZones}, {"Loaners", &spec.Spot},
		{"ExpectedS", &spec.EstimateSeconds}, {"BookmarkS", &spec.CheckpointSeconds}, {"StowS", &spec.SaveSeconds},
	} {
		if absent(m[f.name]) {
			return spec, fmt.Errorf("%s: missing", f.name)
		}
		if err := value(f.name, m[f.name], f.to); err != nil {
			return spec, err
		}
	}
	for _, f := range []struct {
		name string
		to   any
	}{{"Breeds", &spec.Types}, {"Yard", &spec.Zone}, {"DueS", &spec.DeadlineSeconds}} {
		if absent(m[f.name]) {
			continue
		}
		if err := value(f.name, m[f.name], f.to); err != nil {
			return spec, err
		}
	}
	prio, known := urgencies[urgency]
	switch {
	case !known:
		return spec, fmt.Errorf("Urgency: unknown value")
	case form != formArray && form != formDaemon && form != formGang:
		return spec, fmt.Errorf("Form: unknown value")
	case spec.Tasks < 1 || spec.Tasks > maxTasks:
		return spec, fmt.Errorf("Sheets: must be from 1 to %d", maxTasks)
	case spec.Team == "":
		return spec, fmt.Errorf("Desk: empty")
	// What the core takes for any type or zone would be none of the user's.
	case !absent(m["Breeds"]) && (len(spec.Types) == 0 || slices.Contains(spec.Types, "")):
		return spec, fmt.Errorf("Breeds: must name types, or be null for any")
	case !absent(m["Yard"]) && spec.Zone == "":
		return spec, fmt.Errorf("Yard: must name a zone, or be null for any")
	}
	spec.Service, spec.Gang, spec.Priority = form == formDaemon, form == formGang, prio
	return spec, nil
}

// members reads the fields of the object that a body is, by their exact names. What
// comes before a fault is returned with the error.
func members(body []byte) (map[string]json.RawMessage, error) {
	m := map[string]json.RawMessage{}
	if t := bytes.TrimSpace(body); len(t) == 0 || t[0] != '{' {
		return m, fmt.Errorf("not a JSON object")
	}
	var whole json.RawMessage
	err := json.Unmarshal(body, &whole)
	if err != nil {
		err = fmt.Errorf("malformed: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	for _, bad := d.Token(); bad == nil && d.More(); {
		var tok json.Token
		var raw json.RawMessage
		if tok, bad = d.Token(); bad != nil {
			break
		}
		name, ok := tok.(string)
		if bad = d.Decode(&raw); !ok || bad != nil {
			break
		}
		if _, again := m[name]; again && protocolField[name] && err == nil {
			err = fmt.Errorf("%s: given twice", name)
		} else if !again {
			m[name] = raw
		}
	}
	return m, err
}

// protocolField says which fields the protocol knows; all others are ignored.
var protocolField = map[string]bool{"Ref": true, "Docket": true, "Desk": true, "Form": true, "Urgency": true, "Sheets": true,
	"Cores": true, "Cards": true, "MemGb": true, "Build": true, "PullGb": true, "Breeds": true, "Yard": true, "OneZone": true,
	"Apart": true, "Loaners": true, "ExpectedS": true, "BookmarkS": true, "StowS": true, "DueS": true}

// absent says whether a field is missing, or null, which is the same.
func absent(raw json.RawMessage) bool { return raw == nil || string(raw) == "null" }

// value reads a field's value.
func value(name string, raw json.RawMessage, to any) error {
	what := "true or false"
	switch to.(type) {
	case *string:
		what = "a string"
	case *[]string:
		what = "a list of strings"
	case *int:
		what = "a whole number"
	case *float64:
		what = "an amount from 0 to 1e9"
	}
	err := json.Unmarshal(raw, to)
	if v, ok := to.(*float64); err != nil || ok && badAmount(*v) {
		return fmt.Errorf("%s: not %s", name, what)
	}
	return nil
}

func badAmount(v float64) bool { return math.IsNaN(v) || v < 0 || v > maxAmount }

type standing struct {
	Ref      string
	Standing string
	Done     int `json:"done"`
	Running  int `json:"running"`
}

// EncodeJobStatus writes a job's state as users see it.
func EncodeJobStatus(r model.JobStatus) []byte {
	s := standing{Ref: r.ID, Done: r.Done, Running: r.Running}
	switch r.State {
	case model.JobRunning:
		s.Standing = "running"
	case model.JobDone:
		s.Standing = "done"
	case model.JobCancelled:
		s.Standing = "withdrawn"
	default:
		s.Standing = "pending"
	}
	b, _ := json.Marshal(s)
	return b
}

// taskName writes a task's name; parseTask reads it.
func taskName(t model.TaskID) string { return t.Job + "/" + strconv.Itoa(t.Index) }

func parseTask(s string) (model.TaskID, bool) {
	job, idx, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(idx)
	return model.TaskID{Job: job, Index: i}, ok && err == nil && i >= 0
}
