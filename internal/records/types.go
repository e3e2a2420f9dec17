package records

import (
	"encoding/json"

	"roadcleat/internal/model"
)

// EncodeMachineTypes is the value of MachineTypesKey.
func EncodeMachineTypes(types []model.MachineType) []byte {
	value, _ := json.Marshal(types) // finite numbers cannot fail
	return value
}

// DecodeMachineTypes reads the value of MachineTypesKey.
func DecodeMachineTypes(value []byte) ([]model.MachineType, error) {
	var types []model.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return nil, &UnreadableError{Record: "machine types", Err: err}
	}
	return types, nil
}
