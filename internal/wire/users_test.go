package wire

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// with is run1 with a field's value replaced, or without the field if it is empty.
func with(t *testing.T, field, value string) string {
	t.Helper()
	m, err := members([]byte(submissionBody))
	require.NoError(t, err)
	require.Contains(t, m, field)
	if m[field] = json.RawMessage(value); value == "" {
		delete(m, field)
	}
	b, err := json.Marshal(m)
	require.NoError(t, err)
	return string(b)
}

func TestEachFieldsAbsenceNullAndWrongTypeIsNamed(t *testing.T) {
	nullable := map[string]bool{"Breeds": true, "Yard": true, "DueS": true}
	wrong := map[string][]string{
		"string": {"7", "true", "[]", "{}"},
		"amount": {`"8"`, "true", "[]", "{}", "-1", "-1e-9", "1e10", "1e999", "-1e999"},
		"count":  {`"8"`, "true", "[]", "{}", "-1", "0", "1.5", "100001", "1e99"},
		"bool":   {`"true"`, "0", "1", "[]", "{}"},
		"list":   {`"g8"`, "7", "[]", `[""]`, "[7]", "[null]", "{}"},
	}
	for field, kind := range map[string]string{"Docket": "string", "Desk": "string", "Form": "string", "Urgency": "string",
		"Sheets": "count", "Cores": "amount", "Cards": "amount", "MemGb": "amount", "Build": "string", "PullGb": "amount",
		"Breeds": "list", "Yard": "string", "OneZone": "bool", "Apart": "bool", "Loaners": "bool", "ExpectedS": "amount",
		"BookmarkS": "amount", "StowS": "amount", "DueS": "amount"} {
		refused := wrong[kind]
		if !nullable[field] {
			refused = append(refused, "", "null")
		} else {
			for _, v := range []string{"", "null"} {
				_, err := DecodeSubmission([]byte(with(t, field, v)))
				assert.NoError(t, err, "%s may be null or omitted", field)
			}
		}
		for _, v := range refused {
			s, err := DecodeSubmission([]byte(with(t, field, v)))
			if assert.Error(t, err, "%s: %s", field, v) {
				assert.Contains(t, err.Error(), field+": ", v)
			}
			assert.Equal(t, "job-000412", s.ID, "%s: %s", field, v)
		}
	}
	for field, values := range map[string][]string{"Form": {`""`, `"Array"`}, "Urgency": {`""`, `"HIGH"`}, "Desk": {`""`}, "Yard": {`""`}} {
		for _, v := range values {
			_, err := DecodeSubmission([]byte(with(t, field, v)))
			assert.ErrorContains(t, err, field+": ", v)
		}
	}
	for _, v := range []string{"", "null", "7", `""`, `"job-"`, `"job-1234567890123456789"`, `"Job-1"`, `"job-1 "`, `"job-1\n"`, `"job-١"`, `"job-1/2"`} {
		s, err := DecodeSubmission([]byte(with(t, "Ref", v)))
		assert.ErrorContains(t, err, "Ref: ", v)
		assert.Empty(t, s.ID)
	}
}

func TestWhatCanRunIsTaken(t *testing.T) {
	for field, values := range map[string][]string{
		"Cores": {"0", "0.0", "-0.0", "1e-300", "8", "8e0", "1e9"}, "Sheets": {"1", "100000"}, "ExpectedS": {"0", "1e9"},
		"Breeds": {`["g8","g8"]`, `["none-such"]`}, "Yard": {`"a"`}, "Form": {`"daemon"`, `"ensemble"`},
		"Ref": {`"job-0"`, `"job-123456789012345678"`, `"\u006aob-1"`}, "Build": {`"a/b:c@d é"`},
	} {
		for _, v := range values {
			_, err := DecodeSubmission([]byte(with(t, field, v)))
			assert.NoError(t, err, "%s: %s", field, v)
		}
	}
	// Unknown fields are ignored whatever they hold, also those that differ in case only.
	for _, more := range []string{`"cores":"many"`, `"CORES":null`, `"x":1,"x":2`, `"ref":7`, `"x":{"Ref":"job-9"}`} {
		s, err := DecodeSubmission([]byte("\n {" + more + "," + submissionBody[1:] + "\t\n"))
		require.NoError(t, err, more)
		assert.Equal(t, "job-000412", s.ID)
		assert.Equal(t, 8.0, s.Need.Cores)
	}
	_, err := DecodeSubmission([]byte(strings.Replace(submissionBody, `"Cores"`, `"cores"`, 1)))
	assert.EqualError(t, err, "Cores: missing")
}

func TestABodyThatIsNoWholeObjectKeepsTheIdItHas(t *testing.T) {
	for _, body := range []string{submissionBody + "x", submissionBody + submissionBody, submissionBody + "]", submissionBody[:len(submissionBody)-1], submissionBody[:200], submissionBody[:len(submissionBody)-1] + ",}",
		strings.Replace(submissionBody, `"Cores":8.0`, `"Cores":NaN`, 1), strings.Replace(submissionBody, `"Cores":8.0`, `"Cores":08`, 1),
		strings.Replace(submissionBody, `"Cores":8.0`, `"Cores" 8.0`, 1), submissionBody[:len(submissionBody)-1] + `,"Cores":8.0}`,
		submissionBody[:len(submissionBody)-1] + `,"Ref":"job-7"}`, submissionBody[:len(submissionBody)-1] + `,"x":` + strings.Repeat("[", 20000)} {
		s, err := DecodeSubmission([]byte(body))
		assert.Error(t, err)
		assert.Equal(t, "job-000412", s.ID, "what is known is recognised: %.300s", body)
	}
	for _, body := range []string{"", " ", "null", "7", `"job-1"`, "[" + submissionBody + "]", "{", "{]", "\ufeff" + submissionBody, `x{"Ref":"job-1"}`} {
		s, err := DecodeSubmission([]byte(body))
		assert.Error(t, err, body)
		assert.Empty(t, s.ID, body)
	}
	_, err := DecodeSubmission([]byte(submissionBody[:len(submissionBody)-1] + `,"Cores":9.0}`))
	assert.EqualError(t, err, "Cores: given twice")
}

// FuzzSubmission looks for bodies that break the decoder, are taken though they are no
// submission, or can't be kept as they were taken.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(submissionBody))
	for _, s := range []string{"", "{}", "null", "[]", `{"Ref":"job-1"}`, `{"Ref":"job-1","Ref":"job-2"}`, submissionBody + "x", submissionBody[:100],
		strings.Replace(submissionBody, "8.0", "1e999", 1), strings.Replace(submissionBody, "8.0", "-0.0", 1), strings.Replace(submissionBody, "16", "1e5", 1),
		strings.Replace(submissionBody, `["g8"]`, "[]", 1), strings.Replace(submissionBody, "null", `""`, 1), strings.Replace(submissionBody, "Cores", "cores", 1),
		strings.Replace(submissionBody, `"img-07"`, `"\ud800"`, 1), strings.Replace(submissionBody, "array", "daemon", 1)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := DecodeSubmission(body)
		if s.ID != "" && !ValidJobID(s.ID) {
			t.Fatalf("id %q", s.ID)
		}
		if err != nil {
			if strings.ContainsAny(err.Error(), "\r\n") {
				t.Fatalf("more than a line: %q", err)
			}
			return
		}
		n := s.Need
		if !json.Valid(body) || s.ID == "" || s.Team == "" || s.Tasks < 1 || s.Tasks > maxTasks || s.Priority < 0 || s.Priority > 3 ||
			badAmount(n.Cores) || badAmount(n.GPUs) || badAmount(n.MemoryGB) || badAmount(s.EstimateSeconds) || badAmount(s.DeadlineSeconds) ||
			badAmount(s.ImageGB) || badAmount(s.CheckpointSeconds) || badAmount(s.SaveSeconds) || s.Types != nil && len(s.Types) == 0 {
			t.Fatalf("taken: %+v", s)
		}
		if _, err := json.Marshal(s); err != nil {
			t.Fatal(err)
		}
		again, err := DecodeSubmission(bytes.TrimSpace(append([]byte(`{"x":[null],`), bytes.TrimSpace(body)[1:]...)))
		if err != nil {
			t.Fatalf("an unknown field more: %v", err)
		}
		a, _ := json.Marshal(s)
		b, _ := json.Marshal(again)
		if !bytes.Equal(a, b) {
			t.Fatalf("%s became %s", a, b)
		}
	})
}
