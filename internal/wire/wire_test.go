package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

const submissionBody = `{"Ref":"job-000412","Docket":"train","Desk":"vision","Form":"array","Urgency":"high","Sheets":16,
"Cores":8.0,"Cards":1.0,"MemGb":64.0,"Build":"img-07","PullGb":6.2,"Breeds":["g8"],"Yard":null,"OneZone":true,
"Apart":false,"Loaners":true,"ExpectedS":240.0,"BookmarkS":30.0,"StowS":4.0,"DueS":900.0,"New":[1]}`

func TestSubmissionIsRead(t *testing.T) {
	s, err := DecodeSubmission([]byte(submissionBody))
	require.NoError(t, err)
	assert.Equal(t, model.Resources{Cores: 8, GPUs: 1, MemoryGB: 64}, s.Need)
	assert.Equal(t, 1, s.Priority)
	assert.Equal(t, []string{"g8"}, s.Types)
	assert.True(t, s.OneZone && s.Spot && !s.SpreadZones)
	short := submissionBody
	for _, cut := range []string{`"Breeds":["g8"],`, `"Yard":null,`, `,"DueS":900.0`} {
		short = strings.Replace(short, cut, "", 1)
	}
	_, err = DecodeSubmission([]byte(short))
	assert.NoError(t, err, "what may be null may be left out")
}

func TestMalformedSubmissionsKeepTheirId(t *testing.T) {
	for _, c := range [][2]string{{`"Sheets":16`, `"Sheets":"16"`}, {`"Sheets":16`, `"Sheets":0`}, {`"Sheets":16`, `"Sheets":100001`},
		{`"Cores":8.0,`, ``}, {`"Cores":8.0`, `"Cores":-1`}, {`"Cores":8.0`, `"Cores":NaN`}, {`"Form":"array"`, `"Form":"batch"`},
		{`"Urgency":"high"`, `"Urgency":"urgent"`}, {`"OneZone":true`, `"OneZone":1`}, {`"Loaners":true,`, ``}} {
		s, err := DecodeSubmission([]byte(strings.Replace(submissionBody, c[0], c[1], 1)))
		require.Error(t, err, c[1])
		if json.Valid([]byte(strings.Replace(submissionBody, c[0], c[1], 1))) {
			assert.Equal(t, "job-000412", s.ID, "a repeat of a known job is recognised all the same")
		}
	}
	for _, body := range []string{"", "[]", "null", "7", "{", `{"Ref":"job-x"}`, strings.Replace(submissionBody, "job-000412", "run-000412", 1)} {
		s, err := DecodeSubmission([]byte(body))
		assert.Error(t, err, body)
		assert.Empty(t, s.ID)
	}
}

func TestReportAndOrdersKeepTheProtocolsWords(t *testing.T) {
	r, err := DecodeWorkerStatus([]byte(`{"Host":"vm-1","Endpoint":"10.1.0.1:9000","Breed":"g8","Yard":"a","Loaners":true,"Shift":1,
"Tally":88,"Baton":41,"RecallS":null,"Sheets":[{"Sheet":"job-000412/3","Try":2,"Standing":"running"},
{"Sheet":"job-000398/0","Try":1,"Standing":"ended","Cause":"done"}]}`))
	require.NoError(t, err)
	assert.Negative(t, r.SpotNotice)
	assert.Equal(t, core.TaskStatus{Task: model.TaskID{Job: "job-000398"}, Attempt: 1, State: core.TaskExited, Cause: core.ExitDone}, r.Tasks[1])
	got := EncodeHeartbeatReply(41, []core.Command{{Verb: core.VerbLaunch, Task: model.TaskID{Job: "job-000412", Index: 4}, Attempt: 2},
		{Verb: core.VerbStop, Task: model.TaskID{Job: "job-000377", Index: 1}, Attempt: 1}, {Verb: core.VerbForget, Task: model.TaskID{Job: "job-000398"}, Attempt: 1}})
	assert.JSONEq(t, `{"Baton":41,"Orders":[{"Verb":"launch","Sheet":"job-000412/4","Try":2},
{"Verb":"halt","Sheet":"job-000377/1","Try":1,"LeewayS":0},{"Verb":"clear","Sheet":"job-000398/0","Try":1}]}`, string(got))
	_, err = DecodeWorkerStatus([]byte(`{"Host":"vm-1","Yard":"a","Sheets":[{"Sheet":"job"}]}`))
	assert.Error(t, err)
}

func TestTransactionKeepsTheProtocolsWords(t *testing.T) {
	got := EncodeTxn(core.Txn{Conditions: []core.Condition{{Key: "a/b"}}, Mutations: []core.Mutation{{Key: "a/b", Value: []byte(`{"x":1}`), Lease: 7}, {Key: "c/d"}}})
	assert.JSONEq(t, `{"Guards":[{"Key":"a/b","Stamp":0}],"Apply":[{"Set":"a/b","Value":{"x":1},"Tenure":7},{"Drop":"c/d"}]}`, string(got))
	news, ledger, err := DecodeChanges([]byte(`{"Ledger":433,"News":[{"Set":"c/9","Value":{"y":2},"Stamp":433},{"Drop":"c/d","Stamp":432}]}`))
	require.NoError(t, err)
	assert.Equal(t, uint64(433), ledger)
	assert.Equal(t, `{"y":2}`, string(news[0].Value))
	assert.Nil(t, news[1].Value)
}
