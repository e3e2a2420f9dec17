package core

import (
	"slices"
	"strings"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// Intervals at which the cloud's catalog is read; emptyCatalogReadInterval applies while this
// controller has no machine types.
const (
	catalogReadInterval      = 30 * time.Second
	emptyCatalogReadInterval = time.Second
)

// refreshCatalog reads the machine types and their prices from the cloud if a read is due. While
// this controller has no machine types, it also reads the copy in the state service.
func (c *Core) refreshCatalog() {
	wait := catalogReadInterval
	if len(c.machineTypes) == 0 {
		wait = emptyCatalogReadInterval
	}
	if c.catalogPending || c.catalogRequestedAt > 0 && c.now < c.catalogRequestedAt+wait {
		return
	}
	c.catalogPending, c.catalogRequestedAt = true, c.now
	call(c, ReadCatalog{}, func(res CatalogResult) {
		c.catalogPending = false
		c.recordCloudOutcome(res.Outcome == OutcomeOK)
		if res.Outcome != OutcomeOK || len(res.Types) == 0 {
			return
		}
		c.addMachineTypes(res.Types)
		c.catalogReadAt = c.now
		c.storeTypes()
	})
	if len(c.machineTypes) == 0 && !c.storedTypesPending {
		c.readStoredTypes()
	}
}

// addMachineTypes adds or updates machine types, and adds shards for their zones.
func (c *Core) addMachineTypes(types []model.MachineType) {
	for _, machineType := range types {
		index := c.typeNames.indexOrAdd(machineType.Name)
		for len(c.machineTypes) <= index {
			c.machineTypes = append(c.machineTypes, model.MachineType{})
		}
		c.machineTypes[index] = machineType
		for _, zone := range machineType.Zones {
			c.zoneIndexOrAdd(zone)
		}
	}
}

// readStoredTypes reads the machine types from the state service, for use until the cloud has
// answered.
func (c *Core) readStoredTypes() {
	c.storedTypesPending = true
	c.readKey(records.MachineTypesKey, true, func(res ReadResult) {
		c.storedTypesPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		c.storedTypesRevision = res.Item.Revision
		if !res.Found || len(c.machineTypes) > 0 {
			return
		}
		if types, err := records.DecodeMachineTypes(res.Item.Value); err == nil {
			c.addMachineTypes(types)
			c.storedMachineTypes = encodeTypesWithoutPrices(types)
		}
	})
}

// storeTypes stores the machine types in the state service if they differ from the stored ones.
// Prices change frequently and are not compared.
func (c *Core) storeTypes() {
	withoutPrices := encodeTypesWithoutPrices(c.machineTypes)
	if c.storedTypesPending || c.storedMachineTypes == withoutPrices || !c.stateServiceReachable() {
		return
	}
	c.storedTypesPending = true
	value := records.EncodeMachineTypes(c.machineTypes)
	txn := Txn{
		Conditions: []Condition{{records.MachineTypesKey, c.storedTypesRevision}},
		Mutations:  []Mutation{{Key: records.MachineTypesKey, Value: value}},
	}
	c.commit(txn, false, func(res CommitResult) {
		c.storedTypesPending = false
		switch res.Outcome {
		case OutcomeOK:
			c.storedTypesRevision, c.storedMachineTypes = res.Revision, withoutPrices
		case OutcomeRefused, OutcomeUnknown:
			c.rereadStoredTypes()
		}
	})
}

// rereadStoredTypes reads the stored machine types again after a write that conflicted with another
// controller's write or whose outcome is unknown.
func (c *Core) rereadStoredTypes() {
	c.storedTypesPending = true
	c.readKey(records.MachineTypesKey, false, func(res ReadResult) {
		c.storedTypesPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		if types, err := records.DecodeMachineTypes(res.Item.Value); err == nil {
			c.storedTypesRevision, c.storedMachineTypes = res.Item.Revision, encodeTypesWithoutPrices(types)
		}
	})
}

// encodeTypesWithoutPrices returns an encoding of machine types without prices, sorted by name, by
// which storeTypes compares them.
func encodeTypesWithoutPrices(types []model.MachineType) string {
	withoutPrices := slices.Clone(types)
	for i := range withoutPrices {
		withoutPrices[i].PricePerHour, withoutPrices[i].SpotPricePerHour = 0, 0
	}
	slices.SortFunc(withoutPrices, func(a, b model.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return string(records.EncodeMachineTypes(withoutPrices))
}

// zoneKindIndex returns the dense index of a kind of machine in a zone: a zone, a machine type, and
// whether it is a spot instance.
func (c *Core) zoneKindIndex(zone, typeIndex int, spot bool) int {
	index := (zone*len(c.machineTypes) + typeIndex) * 2
	if spot {
		index++
	}
	return index
}

// zoneIndexOrAdd returns the dense index of a zone. It adds a zone that is new, and a shard for it.
func (c *Core) zoneIndexOrAdd(name string) int {
	index := c.zones.indexOrAdd(name)
	for len(c.shards) <= index {
		c.shards = append(c.shards, newShard(len(c.shards), c.zones.names[len(c.shards)]))
	}
	return index
}
