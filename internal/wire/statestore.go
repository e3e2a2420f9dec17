package wire

import (
	"encoding/json"

	"roadcleat/internal/core"
)

// storedItem is a key with its value and the revision at which it last changed.
type storedItem struct {
	Key      string          `json:"Key"`
	Value    json.RawMessage `json:"Value"`
	Revision uint64          `json:"Stamp"`
}

// toItem converts the stored item to the core's form.
func (i storedItem) toItem() core.Item {
	return core.Item{Key: i.Key, Value: i.Value, Revision: i.Revision}
}

// condition is a condition of a transaction: the key must have this revision, or must not exist
// if the revision is 0.
type condition struct {
	Key      string `json:"Key"`
	Revision uint64 `json:"Stamp"`
}

// change sets or deletes a key. It is a mutation in a transaction, where it has no revision, or
// a change in the reply to a watch, where it has the revision that it created.
type change struct {
	SetKey    string          `json:"Set,omitempty"`
	Value     json.RawMessage `json:"Value,omitempty"`
	Revision  uint64          `json:"Stamp,omitempty"`
	Lease     uint64          `json:"Tenure,omitempty"`
	DeleteKey string          `json:"Drop,omitempty"`
}

// toItem converts the change to the core's form, in which an item without a value means that
// the key was deleted.
func (c change) toItem() core.Item {
	if c.DeleteKey != "" {
		return core.Item{Key: c.DeleteKey, Revision: c.Revision}
	}
	return core.Item{Key: c.SetKey, Value: c.Value, Revision: c.Revision}
}

// transaction is a compare-and-swap transaction.
type transaction struct {
	Conditions []condition `json:"Guards"`
	Changes    []change    `json:"Apply,omitempty"`
}

// EncodeTxn encodes the body of the state service's POST /commit.
func EncodeTxn(txn core.Txn) []byte {
	// The service requires a list of conditions, even if it is empty.
	encoded := transaction{Conditions: make([]condition, 0, len(txn.Conditions))}
	for _, c := range txn.Conditions {
		encoded.Conditions = append(encoded.Conditions, condition{Key: c.Key, Revision: c.Revision})
	}
	for _, m := range txn.Mutations {
		if m.Value == nil {
			encoded.Changes = append(encoded.Changes, change{DeleteKey: m.Key})
		} else {
			encoded.Changes = append(encoded.Changes, change{SetKey: m.Key, Value: m.Value, Lease: m.Lease})
		}
	}
	return encode(encoded)
}

// ServiceReply is the reply of the state service to POST /commit and POST /holds, and any error
// reply of the state service or the cloud. Fields that a reply lacks are zero.
type ServiceReply struct {
	Revision   uint64   `json:"Ledger"`
	FailedKeys []string `json:"failed"`
	Error      string   `json:"error"`
	Lease      uint64   `json:"Tenure"`
}

// DecodeServiceReply decodes a ServiceReply. A body of another form gives the zero reply, since
// proxies send error replies with texts of their own.
func DecodeServiceReply(body []byte) ServiceReply {
	var reply ServiceReply
	if json.Unmarshal(body, &reply) != nil {
		return ServiceReply{}
	}
	return reply
}

// DecodeKey decodes the state service's reply to GET /store/KEY: one item.
func DecodeKey(body []byte) (core.Item, error) {
	var stored storedItem
	if err := decode("key", body, &stored); err != nil {
		return core.Item{}, err
	}
	return stored.toItem(), nil
}

// DecodeKeys decodes the state service's reply to GET /store: a page of items, whether more
// pages follow, and the revision of the store.
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
		items = append(items, stored.toItem())
	}
	return items, page.Truncated, page.Revision, nil
}

// DecodeChanges decodes the state service's reply to GET /follow: changes, and the revision up
// to which the list of changes is complete.
func DecodeChanges(body []byte) (items []core.Item, revision uint64, err error) {
	var reply struct {
		Revision uint64   `json:"Ledger"`
		Changes  []change `json:"News"`
	}
	if err := decode("changes", body, &reply); err != nil {
		return nil, 0, err
	}
	for _, c := range reply.Changes {
		items = append(items, c.toItem())
	}
	return items, reply.Revision, nil
}

// EncodeLeaseRequest encodes the body of the state service's POST /holds.
func EncodeLeaseRequest(ttlMillis int64) []byte {
	return encode(struct {
		TTLMillis int64 `json:"LifeMs"`
	}{ttlMillis})
}
