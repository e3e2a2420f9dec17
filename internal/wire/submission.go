package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"roadcleat/internal/model"
)

// MaxBodyBytes is the size in bytes of the largest request body that the protocol allows.
const MaxBodyBytes = 64 << 10

// Limits of the values in a submission. maxAmount applies to every field that holds an amount,
// whatever its unit.
const (
	maxTasksPerJob = 100000
	maxAmount      = 1e9
)

// Field names of a submission.
const (
	fieldID                = "Ref"
	fieldClass             = "Docket"
	fieldTeam              = "Desk"
	fieldKind              = "Form"
	fieldPriority          = "Urgency"
	fieldTasks             = "Sheets"
	fieldCores             = "Cores"
	fieldGPUs              = "Cards"
	fieldMemoryGB          = "MemGb"
	fieldImage             = "Build"
	fieldImageGB           = "PullGb"
	fieldTypes             = "Breeds"
	fieldZone              = "Yard"
	fieldOneZone           = "OneZone"
	fieldSpreadZones       = "Apart"
	fieldSpot              = "Loaners"
	fieldEstimateSeconds   = "ExpectedS"
	fieldCheckpointSeconds = "BookmarkS"
	fieldSaveSeconds       = "StowS"
	fieldDeadlineSeconds   = "DueS"
)

// Values of fieldKind.
const (
	kindArray   = "array"
	kindService = "daemon"
	kindGang    = "ensemble"
)

// priorityValues maps the values of fieldPriority to the core's priorities, of which 0 is the
// highest.
var priorityValues = map[string]int{"production": 0, "high": 1, "normal": 2, "low": 3}

// ErrNotJSONObject is the error of a submission that does not start like a JSON object.
var ErrNotJSONObject = errors.New("not a JSON object")

// FieldError is the error of an invalid field of a submission. Users receive the text.
type FieldError struct {
	Field   string // the protocol's name of the field
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidJobID reports whether id has the form of a job ID.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is a job while it is decoded. kindName and priorityName hold the protocol's values
// of fields that the spec has in another form.
type submission struct {
	spec         model.JobSpec
	kindName     string
	priorityName string
}

// fieldTarget is a field of a submission with the pointer to which its value is decoded.
type fieldTarget struct {
	name   string
	target any
}

// requiredFields returns the fields that a submission must have, apart from the job ID.
func (s *submission) requiredFields() []fieldTarget {
	return []fieldTarget{
		{fieldClass, &s.spec.Class},
		{fieldTeam, &s.spec.Team},
		{fieldKind, &s.kindName},
		{fieldPriority, &s.priorityName},
		{fieldTasks, &s.spec.Tasks},
		{fieldCores, &s.spec.TaskResources.Cores},
		{fieldGPUs, &s.spec.TaskResources.GPUs},
		{fieldMemoryGB, &s.spec.TaskResources.MemoryGB},
		{fieldImage, &s.spec.Image},
		{fieldImageGB, &s.spec.ImageGB},
		{fieldOneZone, &s.spec.OneZone},
		{fieldSpreadZones, &s.spec.SpreadZones},
		{fieldSpot, &s.spec.Spot},
		{fieldEstimateSeconds, &s.spec.EstimatedRunSeconds},
		{fieldCheckpointSeconds, &s.spec.CheckpointIntervalSeconds},
		{fieldSaveSeconds, &s.spec.SaveSeconds},
	}
}

// optionalFields returns the fields that may be null or omitted.
func (s *submission) optionalFields() []fieldTarget {
	return []fieldTarget{
		{fieldTypes, &s.spec.Types},
		{fieldZone, &s.spec.Zone},
		{fieldDeadlineSeconds, &s.spec.DeadlineSeconds},
	}
}

// knownFields is the set of the names of all fields of a submission. Other fields are ignored.
var knownFields = func() map[string]bool {
	known := map[string]bool{fieldID: true}
	var s submission
	for _, field := range slices.Concat(s.requiredFields(), s.optionalFields()) {
		known[field.name] = true
	}
	return known
}()

// DecodeSubmission decodes the body of POST /v2/runs. If the body is malformed, the error states
// the problem, and the spec still has the job's ID if the ID could be decoded: the reply to a
// malformed repetition of an accepted submission is the job's state.
func DecodeSubmission(body []byte) (model.JobSpec, error) {
	var s submission
	fields, err := objectFields(body)
	s.spec.ID = decodeJobID(fields[fieldID])
	if err != nil {
		return s.spec, err
	}
	if s.spec.ID == "" {
		return s.spec, &FieldError{fieldID, "missing or of a wrong form"}
	}
	if err := s.decodeFields(fields); err != nil {
		return s.spec, err
	}
	if err := s.validate(fields); err != nil {
		return s.spec, err
	}
	s.spec.Service = s.kindName == kindService
	s.spec.Gang = s.kindName == kindGang
	s.spec.Priority = priorityValues[s.priorityName]
	return s.spec, nil
}

// decodeJobID decodes a job ID. It returns an empty string if the value is not a valid job ID.
func decodeJobID(raw json.RawMessage) string {
	var id string
	if json.Unmarshal(raw, &id) != nil || !ValidJobID(id) {
		return ""
	}
	return id
}

// decodeFields decodes all fields apart from the job ID. It returns the first error.
func (s *submission) decodeFields(fields map[string]json.RawMessage) error {
	for _, field := range s.requiredFields() {
		if isAbsent(fields[field.name]) {
			return &FieldError{field.name, "missing"}
		}
		if err := decodeField(field, fields[field.name]); err != nil {
			return err
		}
	}
	for _, field := range s.optionalFields() {
		if isAbsent(fields[field.name]) {
			continue
		}
		if err := decodeField(field, fields[field.name]); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the constraints that the types of the fields do not express.
func (s *submission) validate(fields map[string]json.RawMessage) error {
	if _, known := priorityValues[s.priorityName]; !known {
		return &FieldError{fieldPriority, "unknown value"}
	}
	if s.kindName != kindArray && s.kindName != kindService && s.kindName != kindGang {
		return &FieldError{fieldKind, "unknown value"}
	}
	if s.spec.Tasks < 1 || s.spec.Tasks > maxTasksPerJob {
		return &FieldError{fieldTasks, fmt.Sprintf("must be from 1 to %d", maxTasksPerJob)}
	}
	if s.spec.Team == "" {
		return &FieldError{fieldTeam, "empty"}
	}
	// The core takes an empty list of types, or an empty zone, as no restriction. A user who sends
	// an empty value has excluded every type or zone, so the value is refused.
	if !isAbsent(fields[fieldTypes]) && (len(s.spec.Types) == 0 || slices.Contains(s.spec.Types, "")) {
		return &FieldError{fieldTypes, "must name types, or be null for any"}
	}
	if !isAbsent(fields[fieldZone]) && s.spec.Zone == "" {
		return &FieldError{fieldZone, "must name a zone, or be null for any"}
	}
	return nil
}

// objectFields decodes a JSON object into its fields. Names have to match exactly, unlike in
// encoding/json, which ignores their case. On an error, the fields before the error are returned
// with it.
func objectFields(body []byte) (map[string]json.RawMessage, error) {
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, ErrNotJSONObject
	}
	fields, duplicate := readFields(body)
	// The decoder of readFields stops at the end of the object. Unmarshal also detects data after
	// it.
	var object json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return fields, fmt.Errorf("malformed: %w", err)
	}
	if duplicate != "" {
		return fields, &FieldError{duplicate, "given twice"}
	}
	return fields, nil
}

// readFields decodes the fields of an object up to its end or the first error. If a field occurs
// twice, the first value is kept. duplicate is the name of the first known field that does.
func readFields(body []byte) (fields map[string]json.RawMessage, duplicate string) {
	fields = map[string]json.RawMessage{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if _, err := decoder.Token(); err != nil {
		return fields, ""
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			break
		}
		name, ok := token.(string)
		var value json.RawMessage
		if !ok || decoder.Decode(&value) != nil {
			break
		}
		if _, seen := fields[name]; !seen {
			fields[name] = value
		} else if knownFields[name] && duplicate == "" {
			duplicate = name
		}
	}
	return fields, duplicate
}

// isAbsent reports whether a field is missing or null, which have the same meaning.
func isAbsent(raw json.RawMessage) bool { return raw == nil || string(raw) == "null" }

// decodeField decodes a field's value into its target.
func decodeField(field fieldTarget, raw json.RawMessage) error {
	err := json.Unmarshal(raw, field.target)
	amount, isAmount := field.target.(*float64)
	if err != nil || isAmount && isInvalidAmount(*amount) {
		return &FieldError{field.name, "not " + expectedValue(field.target)}
	}
	return nil
}

// expectedValue describes the values that a target accepts, for an error text.
func expectedValue(target any) string {
	switch target.(type) {
	case *string:
		return "a string"
	case *[]string:
		return "a list of strings"
	case *int:
		return "a whole number"
	case *float64:
		return "an amount from 0 to 1e9"
	default:
		return "true or false"
	}
}

// isInvalidAmount reports whether an amount is outside the range from 0 to maxAmount.
func isInvalidAmount(amount float64) bool {
	return math.IsNaN(amount) || amount < 0 || amount > maxAmount
}
