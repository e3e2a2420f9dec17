package wire

import (
	"encoding/json"
	"fmt"

	"roadcleat/internal/core"
)

type row struct {
	Key   string
	Value json.RawMessage
	Stamp uint64
}

type guard struct {
	Key   string
	Stamp uint64
}

type change struct {
	Set    string          `json:",omitempty"`
	Value  json.RawMessage `json:",omitempty"`
	Stamp  uint64          `json:",omitempty"`
	Tenure uint64          `json:",omitempty"`
	Drop   string          `json:",omitempty"`
}

// EncodeTxn writes a transaction.
func EncodeTxn(t core.Txn) []byte {
	w := struct {
		Guards []guard
		Apply  []change `json:",omitempty"`
	}{Guards: make([]guard, 0, len(t.Conditions))}
	for _, g := range t.Conditions {
		w.Guards = append(w.Guards, guard{Key: g.Key, Stamp: g.Revision})
	}
	for _, s := range t.Mutations {
		if s.Value == nil {
			w.Apply = append(w.Apply, change{Drop: s.Key})
		} else {
			w.Apply = append(w.Apply, change{Set: s.Key, Value: s.Value, Tenure: s.Lease})
		}
	}
	b, _ := json.Marshal(w)
	return b
}

// TxnReply is what a transaction, a missing key or an error says.
type TxnReply struct {
	Ledger uint64
	Failed []string `json:"failed"`
	Error  string   `json:"error"`
	Tenure uint64
}

// DecodeTxnReply reads such an answer; a body that is none gives zeros.
func DecodeTxnReply(body []byte) TxnReply {
	var r TxnReply
	if json.Unmarshal(body, &r) != nil {
		return TxnReply{}
	}
	return r
}

// DecodeKey reads one key.
func DecodeKey(body []byte) (core.Item, error) {
	var r row
	if err := json.Unmarshal(body, &r); err != nil {
		return core.Item{}, fmt.Errorf("key: %w", err)
	}
	return r.item(), nil
}

func (r row) item() core.Item { return core.Item{Key: r.Key, Value: r.Value, Revision: r.Stamp} }

// DecodeKeys reads a page of keys.
func DecodeKeys(body []byte) (items []core.Item, more bool, ledger uint64, err error) {
	var l struct {
		Rows      []row
		Truncated bool
		Ledger    uint64
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, false, 0, fmt.Errorf("keys: %w", err)
	}
	for _, r := range l.Rows {
		items = append(items, r.item())
	}
	return items, l.Truncated, l.Ledger, nil
}

// DecodeChanges reads changes.
func DecodeChanges(body []byte) ([]core.Item, uint64, error) {
	var n struct {
		Ledger uint64
		News   []change
	}
	if err := json.Unmarshal(body, &n); err != nil {
		return nil, 0, fmt.Errorf("changes: %w", err)
	}
	var out []core.Item
	for _, c := range n.News {
		if c.Drop != "" {
			out = append(out, core.Item{Key: c.Drop, Revision: c.Stamp})
		} else {
			out = append(out, core.Item{Key: c.Set, Value: c.Value, Revision: c.Stamp})
		}
	}
	return out, n.Ledger, nil
}

// EncodeLeaseRequest writes a request for a lease.
func EncodeLeaseRequest(ms int64) []byte {
	b, _ := json.Marshal(struct{ LifeMs int64 }{ms})
	return b
}
