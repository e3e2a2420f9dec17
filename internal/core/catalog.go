package core

import (
	"slices"
	"strings"
	"time"

	"roadcleat/internal/model"
	"roadcleat/internal/records"
)

// How often the cloud's catalogue is read, and while no machine type is known.
const (
	catalogInterval      = 30 * time.Second
	firstCatalogInterval = time.Second
)

// refreshCatalog refreshes the machine types and their prices.
func (c *Core) refreshCatalog() {
	wait := catalogInterval
	if len(c.types) == 0 {
		wait = firstCatalogInterval
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
	if len(c.types) == 0 && !c.typesPending {
		c.readStoredTypes()
	}
}

func (c *Core) addMachineTypes(types []model.MachineType) {
	for _, t := range types {
		i := c.typeIndex.indexOf(t.Name)
		for len(c.types) <= i {
			c.types = append(c.types, model.MachineType{})
		}
		c.types[i] = t
		for _, z := range t.Zones {
			c.zoneIndex(z)
		}
	}
}

// readStoredTypes learns the machine types from the state service, while the cloud has not
// told any.
func (c *Core) readStoredTypes() {
	c.typesPending = true
	c.readKey(records.MachineTypesKey, true, func(res ReadResult) {
		c.typesPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		c.typesRevision = res.Item.Revision
		if !res.Found || len(c.types) > 0 {
			return
		}
		if types, err := records.DecodeMachineTypes(res.Item.Value); err == nil {
			c.addMachineTypes(types)
			c.storedTypes = typesWithoutPrices(types)
		}
	})
}

// storeTypes stores the machine types when they differ from the stored ones. Prices change
// all the time and do not count.
func (c *Core) storeTypes() {
	plain := typesWithoutPrices(c.types)
	if c.typesPending || c.storedTypes == plain || !c.storeReachable() {
		return
	}
	c.typesPending = true
	value := records.EncodeMachineTypes(c.types)
	txn := Txn{
		Conditions: []Condition{{records.MachineTypesKey, c.typesRevision}},
		Mutations:  []Mutation{{Key: records.MachineTypesKey, Value: value}},
	}
	c.commit(txn, false, func(res CommitResult) {
		c.typesPending = false
		switch res.Outcome {
		case OutcomeOK:
			c.typesRevision, c.storedTypes = res.Revision, plain
		case OutcomeRefused, OutcomeUnknown:
			c.rereadStoredTypes()
		}
	})
}

// rereadStoredTypes looks at what is stored after a write that another controller forestalled,
// or whose outcome is not known.
func (c *Core) rereadStoredTypes() {
	c.typesPending = true
	c.readKey(records.MachineTypesKey, false, func(res ReadResult) {
		c.typesPending = false
		if res.Outcome != OutcomeOK {
			return
		}
		if types, err := records.DecodeMachineTypes(res.Item.Value); err == nil {
			c.typesRevision, c.storedTypes = res.Item.Revision, typesWithoutPrices(types)
		}
	})
}

// typesWithoutPrices is what of machine types counts when they are compared.
func typesWithoutPrices(types []model.MachineType) string {
	plain := slices.Clone(types)
	for i := range plain {
		plain[i].Price, plain[i].SpotPrice = 0, 0
	}
	slices.SortFunc(plain, func(a, b model.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return string(records.EncodeMachineTypes(plain))
}

// kindIndex is the dense index of a machine's zone, type and kind.
func (c *Core) kindIndex(zone, typ int, spot bool) int {
	k := (zone*len(c.types) + typ) * 2
	if spot {
		k++
	}
	return k
}

// zoneIndex is the dense index of a zone. A new zone gets a shard.
func (c *Core) zoneIndex(name string) int {
	z := c.zones.indexOf(name)
	for len(c.shards) <= z {
		c.shards = append(c.shards, newShard(len(c.shards), c.zones.names[len(c.shards)]))
	}
	return z
}
