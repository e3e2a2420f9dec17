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
	taskStates = map[string]int{"fetching": core.Fetching, "gathering": core.Gathering, "running": core.Running, "flushing": core.Saving, "ended": core.Ended}
	taskCauses = map[string]int{"done": core.Done, "stopped": core.Stopped, "error": core.Failed, "full": core.NoRoom,
		"in_use": core.InUse, "no_such": core.NoSuch, "peers": core.Lonely, "alone": core.Lonely}
	verbs = map[int]string{core.Launch: "launch", core.Halt: "halt", core.Clear: "clear"}
)

// DecodeReport reads a worker's report.
func DecodeReport(body []byte) (*core.Report, error) {
	var b beat
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if b.Host == "" || b.Yard == "" {
		return nil, fmt.Errorf("report: Host and Yard are needed")
	}
	r := &core.Report{Host: b.Host, Addr: b.Endpoint, Type: b.Breed, Zone: b.Yard, Spot: b.Loaners,
		Session: b.Shift, Seq: b.Tally, Token: b.Baton, Notice: -1, Tasks: make([]core.Reported, 0, len(b.Sheets))}
	if b.RecallS != nil {
		r.Notice = max(*b.RecallS, 0)
	}
	for _, s := range b.Sheets {
		t, ok := parseTask(s.Sheet)
		if !ok {
			return nil, fmt.Errorf("report: Sheet %q", s.Sheet)
		}
		r.Tasks = append(r.Tasks, core.Reported{Task: t, Attempt: s.Try, State: taskStates[s.Standing],
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

func encodeOrders(list []core.Order) []order {
	out := make([]order, 0, len(list))
	for _, o := range list {
		w := order{Verb: verbs[o.Verb], Sheet: taskName(o.Task), Try: o.Attempt}
		if o.Verb == core.Halt {
			w.LeewayS = &o.Leeway
		}
		out = append(out, w)
	}
	return out
}

// EncodeBeatReply writes the answer to a report.
func EncodeBeatReply(token uint64, list []core.Order) []byte {
	b, _ := json.Marshal(orders{Baton: token, Orders: encodeOrders(list)})
	return b
}

// EncodeForeman writes where a worker should report instead.
func EncodeForeman(label string) []byte {
	var f struct {
		Foreman string `json:",omitempty"`
	}
	f.Foreman = label
	b, _ := json.Marshal(f)
	return b
}

// EncodeOrders writes orders that go straight to a worker.
func EncodeOrders(op core.OrdersOp) []byte {
	b, _ := json.Marshal(orders{Baton: op.Token, Shift: &op.Session, Orders: encodeOrders(op.Orders)})
	return b
}
