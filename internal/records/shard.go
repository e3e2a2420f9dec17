package records

import (
	"encoding/json"
	"fmt"
)

// Shard is a shard's record, which names the controller that owns it. The revision of its key
// is the owner's fencing token.
type Shard struct {
	Owner string `json:"owner"`
	// RaisedFrom is the owner's former token if the owner wrote the record to raise its token, and 0
	// if it is a claim. It identifies the writer, because a token has only one holder.
	RaisedFrom uint64 `json:"from,omitempty"`
}

// Encode returns the shard's value.
func (s Shard) Encode() []byte {
	value, _ := json.Marshal(s) // cannot fail: strings only
	return value
}

// DecodeShard decodes a shard's value.
func DecodeShard(value []byte) (Shard, error) {
	var s Shard
	if err := json.Unmarshal(value, &s); err != nil {
		return Shard{}, &UnreadableError{Record: "shard", Err: err}
	}
	return s, nil
}

// UnreadableError is returned for a value that this version cannot decode, for example one that
// a later version wrote. Callers must treat the record's content as unknown, never as empty.
type UnreadableError struct {
	Record string // kind of record that was expected
	Err    error
}

// Error implements the error interface.
func (e *UnreadableError) Error() string { return fmt.Sprintf("unreadable %s: %v", e.Record, e.Err) }

// Unwrap returns the decoder's error.
func (e *UnreadableError) Unwrap() error { return e.Err }
