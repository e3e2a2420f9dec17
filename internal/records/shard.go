package records

import (
	"encoding/json"
	"fmt"
)

// Shard is a shard's value: which controller owns it. The revision of its key is the
// owner's fencing token.
type Shard struct {
	Owner string `json:"owner"`
}

// Encode is the shard's value.
func (s Shard) Encode() []byte {
	value, _ := json.Marshal(s) // a string cannot fail
	return value
}

// DecodeShard reads a shard's value.
func DecodeShard(value []byte) (Shard, error) {
	var s Shard
	if err := json.Unmarshal(value, &s); err != nil {
		return Shard{}, &UnreadableError{Record: "shard", Err: err}
	}
	return s, nil
}

// UnreadableError is a value that this version cannot read, as a later version may write
// one. What such a value stands for must count as unknown, never as empty.
type UnreadableError struct {
	Record string // what the value should be
	Err    error
}

// Error implements error.
func (e *UnreadableError) Error() string { return fmt.Sprintf("unreadable %s: %v", e.Record, e.Err) }

// Unwrap gives the decoder's error.
func (e *UnreadableError) Unwrap() error { return e.Err }
