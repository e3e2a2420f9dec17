// Package wire converts between the protocol's JSON messages and the types of packages core
// and model.
//
// The protocol's field names, paths and values ("Shift", "/holds", "withdrawn") differ from the
// names in the code. They occur only here, in JSON tags and string constants, and in the
// simulated users of internal/fake and in tests. Encoders write fields in a fixed order.
// Decoders ignore unknown fields.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"roadcleat/internal/model"
)

// DecodeError is the error of a message that could not be decoded. Err is an error of
// encoding/json or of this package. A worker whose heartbeat is refused receives the text.
type DecodeError struct {
	Message string // name of the message, such as "report"
	Err     error
}

func (e *DecodeError) Error() string { return e.Message + ": " + jsonErrorText(e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }

// wireTypeNames replaces the names of Go types by the names used in error texts that are sent to
// workers. These texts must not change if a type is renamed.
var wireTypeNames = strings.NewReplacer("heartbeat", "beat", "taskReport", "sheet")

// jsonErrorText returns the text of an error. encoding/json puts Go type names into the text of
// its type errors; they are replaced, so that the text does not depend on the names of the types
// in this package.
func jsonErrorText(err error) string {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return err.Error()
	}
	goType := wireTypeNames.Replace(typeErr.Type.String())
	if typeErr.Struct == "" && typeErr.Field == "" {
		return fmt.Sprintf("json: cannot unmarshal %s into Go value of type %s", typeErr.Value, goType)
	}
	return fmt.Sprintf("json: cannot unmarshal %s into Go struct field %s.%s of type %s",
		typeErr.Value, wireTypeNames.Replace(typeErr.Struct), typeErr.Field, goType)
}

// decode decodes the body of a message into the target. Its error is a *DecodeError with the
// name of the message.
func decode(message string, body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return &DecodeError{Message: message, Err: err}
	}
	return nil
}

// encode encodes a message. It returns nil for a value that JSON can't represent, such as NaN or
// a stored value that is not JSON. The receiver refuses the empty body then.
func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return body
}

// formatTask returns the name of a task in the form JOB/INDEX.
func formatTask(task model.TaskID) string {
	return task.Job + "/" + strconv.Itoa(task.Index)
}

// parseTask parses a task name that formatTask returned. It returns false for a name of another
// form.
func parseTask(name string) (task model.TaskID, ok bool) {
	job, indexText, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(indexText)
	return model.TaskID{Job: job, Index: index}, found && err == nil && index >= 0
}
