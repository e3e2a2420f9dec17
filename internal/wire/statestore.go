package wire

import (
	"encoding/json"

	"roadcleat/internal/core"
)

// storedItem is a key with its value and the revision of its last change.
type storedItem struct {
	Key      string          `json:"Key"`
	Value    json.RawMessage `json:"Value"`
	Revision uint64          `json:"Stamp"`
}

func (i storedItem) item() core.Item {
	return core.Item{Key: i.Key, Value: i.Value, Revision: i.Revision}
}

// condition lets a transaction pass only if a key still has a revision; 0 means that there
// is no such key.
type condition struct {
	Key      string `json:"Key"`
	Revision uint64 `json:"Stamp"`
}

// change sets or deletes a key: in a transaction, where it has no revision yet, and in the
// reply to a watch.
type change struct {
	SetKey    string          `json:"Set,omitempty"`
	Value     json.RawMessage `json:"Value,omitempty"`
	Revision  uint64          `json:"Stamp,omitempty"`
	Lease     uint64          `json:"Tenure,omitempty"`
	DeleteKey string          `json:"Drop,omitempty"`
}

// item is the change as the core knows it: an item without a value is a deleted one.
func (c change) item() core.Item {
	if c.DeleteKey != "" {
		return core.Item{Key: c.DeleteKey, Revision: c.Revision}
	}
	return core.Item{Key: c.SetKey, Value: c.Value, Revision: c.Revision}
}

type transaction struct {
	Conditions []condition `json:"Guards"`
	Changes    []change    `json:"Apply,omitempty"`
}

// EncodeTxn writes the body of the state service's POST /commit.
func EncodeTxn(txn core.Txn) []byte {
	// The service wants a list of conditions even if it is empty.
	out := transaction{Conditions: make([]condition, 0, len(txn.Conditions))}
	for _, c := range txn.Conditions {
		out.Conditions = append(out.Conditions, condition{Key: c.Key, Revision: c.Revision})
	}
	for _, m := range txn.Mutations {
		if m.Value == nil {
			out.Changes = append(out.Changes, change{DeleteKey: m.Key})
		} else {
			out.Changes = append(out.Changes, change{SetKey: m.Key, Value: m.Value, Lease: m.Lease})
		}
	}
	return encode(out)
}

// ServiceReply has what the state service and the cloud reply beside items and machines:
// to POST /commit and POST /holds of the one, and the error texts of both.
type ServiceReply struct {
	Revision   uint64   `json:"Ledger"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
	Lease      uint64   `json:"Tenure"`
}

// DecodeServiceReply reads such a reply. A body of another form gives a zero reply, since
// proxies put texts of their own into replies that are no success.
func DecodeServiceReply(body []byte) ServiceReply {
	var reply ServiceReply
	if json.Unmarshal(body, &reply) != nil {
		return ServiceReply{}
	}
	return reply
}

// DecodeKey reads one key: the state service's reply to GET /store/KEY.
func DecodeKey(body []byte) (core.Item, error) {
	var stored storedItem
	if err := decode("key", body, &stored); err != nil {
		return core.Item{}, err
	}
	return stored.item(), nil
}

// DecodeKeys reads a page of keys, whether more pages follow, and the store's revision: the
// state service's reply to GET /store.
func DecodeKeys(body []byte) (items []core.Item, more bool, revision uint64, err error) {
	var page struct {
		Items     []storedItem `json:"Rows"`
		Truncated bool         `json:"Truncated"`
		Revision  uint64       `json:"Ledger"`
	}
	if err := decode("keys", body, &page); err != nil {
		return nil, false, 0, err
	}
	for _, stored := range page.Items {
		items = append(items, stored.item())
	}
	return items, page.Truncated, page.Revision, nil
}

// DecodeChanges reads changes and the revision up to which there are no others: the state
// service's reply to GET /follow.
func DecodeChanges(body []byte) (items []core.Item, revision uint64, err error) {
	var reply struct {
		Revision uint64   `json:"Ledger"`
		Changes  []change `json:"News"`
	}
	if err := decode("changes", body, &reply); err != nil {
		return nil, 0, err
	}
	for _, c := range reply.Changes {
		items = append(items, c.item())
	}
	return items, reply.Revision, nil
}

// EncodeLeaseRequest writes the body of the state service's POST /holds.
func EncodeLeaseRequest(ttlMillis int64) []byte {
	return encode(struct {
		TTLMillis int64 `json:"LifeMs"`
	}{ttlMillis})
}
