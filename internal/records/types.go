package records

import (
	"encoding/json"

	"roadcleat/internal/model"
)

// EncodeMachineTypes returns the value of MachineTypesKey.
func EncodeMachineTypes(types []model.MachineType) []byte {
	value, _ := json.Marshal(types) // cannot fail: the numbers are finite
	return value
}

// DecodeMachineTypes decodes the value of MachineTypesKey.
func DecodeMachineTypes(value []byte) ([]model.MachineType, error) {
	var types []model.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return nil, &UnreadableError{Record: "machine types", Err: err}
	}
	return types, nil
}
