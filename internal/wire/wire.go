// Package wire converts between the protocol's JSON messages and the types of packages core
// and model.
//
// The protocol has field names, endpoint paths and values of its own ("Shift", "/holds",
// "withdrawn"). Apart from the simulated users of internal/fake and tests, they occur only
// here, in JSON tags and string constants; everything else uses the names of the Go fields.
// Encoders write fields in a fixed order. Decoders ignore fields that they do not know.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"roadcleat/internal/model"
)

// DecodeError says which message could not be decoded. Err is an error of encoding/json or
// one of this package. Workers receive the text when their heartbeat is refused.
type DecodeError struct {
	Message string
	Err     error
}

func (e *DecodeError) Error() string { return e.Message + ": " + jsonErrorText(e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }

// typeNames maps this package's type names to the ones that error texts sent to workers have
// always had.
var typeNames = strings.NewReplacer("heartbeat", "beat", "taskReport", "sheet")

// jsonErrorText is err's text. encoding/json puts Go type names into the text of its type
// errors; they are replaced so that the text does not depend on how types are named here.
func jsonErrorText(err error) string {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return err.Error()
	}
	goType := typeNames.Replace(typeErr.Type.String())
	if typeErr.Struct == "" && typeErr.Field == "" {
		return fmt.Sprintf("json: cannot unmarshal %s into Go value of type %s", typeErr.Value, goType)
	}
	return fmt.Sprintf("json: cannot unmarshal %s into Go struct field %s.%s of type %s",
		typeErr.Value, typeNames.Replace(typeErr.Struct), typeErr.Field, goType)
}

// decode decodes a message; its error names the message.
func decode(message string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return &DecodeError{Message: message, Err: err}
	}
	return nil
}

// encode encodes a message. It gives nil for what JSON can't represent, such as NaN or a
// stored value that is not JSON; the receiver refuses the empty body.
func encode(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return body
}

// formatTask writes a task's name as JOB/INDEX.
func formatTask(task model.TaskID) string {
	return task.Job + "/" + strconv.Itoa(task.Index)
}

// parseTask reads a name that formatTask wrote.
func parseTask(name string) (task model.TaskID, ok bool) {
	job, indexText, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(indexText)
	return model.TaskID{Job: job, Index: index}, found && err == nil && index >= 0
}
