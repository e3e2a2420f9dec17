package wire

import (
	"encoding/json"
	"fmt"

	"roadcleat/internal/core"
)

type sheet struct {
	Sheet    string
	Try      uint64
	Standing string
	Cause    string `json:",omitempty"`
	Saved    bool   `json:",omitempty"`
}

type beat struct {
	Host, Endpoint, Breed, Yard string
	Loaners                     bool
	Shift, Tally, Baton         uint64
	RecallS                     *float64
	Sheets                      []sheet
}

var (
	taskStates = map[string]core.TaskState{"fetching": core.TaskFetching, "gathering": core.TaskWaitingForGang, "running": core.TaskRunning, "flushing": core.TaskSaving, "ended": core.TaskExited}
	taskCauses = map[string]core.ExitCause{"done": core.ExitDone, "stopped": core.ExitStopped, "error": core.ExitFailed, "full": core.ExitNoRoom,
		"in_use": core.ExitInUse, "no_such": core.ExitNoSuchTask, "peers": core.ExitGangIncomplete, "alone": core.ExitGangIncomplete}
	verbs = map[core.Verb]string{core.VerbLaunch: "launch", core.VerbStop: "halt", core.VerbForget: "clear"}
)

// DecodeWorkerStatus reads a worker's report.
func DecodeWorkerStatus(body []byte) (*core.WorkerStatus, error) {
	var b beat
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if b.Host == "" || b.Yard == "" {
		return nil, fmt.Errorf("report: Host and Yard are needed")
	}
	r := &core.WorkerStatus{Host: b.Host, Address: b.Endpoint, Type: b.Breed, Zone: b.Yard, Spot: b.Loaners,
		Incarnation: b.Shift, Seq: b.Tally, Token: b.Baton, SpotNotice: -1, Tasks: make([]core.TaskStatus, 0, len(b.Sheets))}
	if b.RecallS != nil {
		r.SpotNotice = max(*b.RecallS, 0)
	}
	for _, s := range b.Sheets {
		t, ok := parseTask(s.Sheet)
		if !ok {
			return nil, fmt.Errorf("report: Sheet %q", s.Sheet)
		}
		r.Tasks = append(r.Tasks, core.TaskStatus{Task: t, Attempt: s.Try, State: taskStates[s.Standing],
			Cause: taskCauses[s.Cause], Saved: s.Saved})
	}
	return r, nil
}

type order struct {
	Verb    string
	Sheet   string
	Try     uint64
	LeewayS *float64 `json:",omitempty"`
}

type orders struct {
	Baton  uint64
	Shift  *uint64 `json:",omitempty"`
	Orders []order
}

func encodeOrders(list []core.Command) []order {
	out := make([]order, 0, len(list))
	for _, o := range list {
		w := order{Verb: verbs[o.Verb], Sheet: taskName(o.Task), Try: o.Attempt}
		if o.Verb == core.VerbStop {
			w.LeewayS = &o.GracePeriod
		}
		out = append(out, w)
	}
	return out
}

// EncodeHeartbeatReply writes the answer to a report.
func EncodeHeartbeatReply(token uint64, list []core.Command) []byte {
	b, _ := json.Marshal(orders{Baton: token, Orders: encodeOrders(list)})
	return b
}

// EncodeRedirect writes where a worker should report instead.
func EncodeRedirect(label string) []byte {
	var f struct {
		Foreman string `json:",omitempty"`
	}
	f.Foreman = label
	b, _ := json.Marshal(f)
	return b
}

// EncodeCommands writes orders that go straight to a worker.
func EncodeCommands(op core.SendCommands) []byte {
	b, _ := json.Marshal(orders{Baton: op.Token, Shift: &op.Incarnation, Orders: encodeOrders(op.Commands)})
	return b
}
