package core

import "roadcleat/internal/records"

// applyShardList applies a listing of all shards' keys. Shards that it does not contain are free.
func (c *Core) applyShardList(items []Item) {
	listedZones := map[string]bool{}
	for _, item := range items {
		zone := records.ParseKey(item.Key).Zone
		listedZones[zone] = true
		c.applyShardRecord(c.shards[c.zoneIndexOrAdd(zone)], item.Value, item.Revision)
	}
	for _, shard := range c.shards {
		if !listedZones[shard.name] && !shard.claim.Pending() {
			c.applyShardRecord(shard, nil, c.shardWatch.revision)
		}
	}
}

// applyShardRecord applies a shard's key as it was read from the state service. If the key has been
// deleted, value is nil and revision is that of the deletion. A record that cannot be decoded is
// ignored.
func (c *Core) applyShardRecord(shard *Shard, value []byte, revision uint64) {
	if !shard.claim.AcceptsRevision(revision) {
		return
	}
	if value == nil {
		if shard.claim.OutdatedBy(revision) {
			c.endOwnership(shard, "its key was removed")
		}
		shard.claim.ObserveRemoval(revision, c.now)
		return
	}
	if shard.claim.IsRemovedSince(revision) {
		return // the read was answered after the watch had reported the removal
	}
	record, err := records.DecodeShard(value)
	if err != nil {
		return
	}
	if c.adoptRaisedToken(shard, record, revision) {
		return
	}
	if shard.claim.OutdatedBy(revision) {
		c.endOwnership(shard, "claimed by "+record.Owner)
	}
	shard.claim.ObserveOwner(record.Owner, revision)
}

// rereadShard reads a shard's key and applies the value, unless this controller owns or claims the
// shard by then.
func (c *Core) rereadShard(shard *Shard) {
	c.readKey(shard.key(), true, func(res ReadResult) {
		switch {
		case res.Outcome != OutcomeOK:
			shard.retryNotBefore = c.now + shardReadRetryDelay
			c.shardWatch.listed = false // the shards are listed again instead
		case shard.claim.OwnedOrPending():
		case !res.Found:
			shard.claim.ObserveAbsence(c.now)
		default:
			shard.claim.MarkKeyRead()
			c.applyShardRecord(shard, res.Item.Value, res.Item.Revision)
		}
	})
}
