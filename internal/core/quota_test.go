package core

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"roadcleat/internal/records"
)

// A shard releases idle GPUs of a grant while placements that are not recorded yet need more cores
// than it is granted. The release must not raise the cores above the team's limit (rule quota).
func TestReleaseOfOneResourceDoesNotRaiseAnother(t *testing.T) {
	quota := &TeamQuota{grants: records.Grants{"a": {Cores: 4, GPUs: 2}, "b": {Cores: 6}}}
	assert.Equal(t, records.Grant{Cores: 4}, quota.reductionTo("a", records.Grant{Cores: 6}))
	assert.Equal(t, records.Grant{Cores: 1, GPUs: 2}, quota.reductionTo("a", records.Grant{Cores: 1, GPUs: 3}))
	assert.Equal(t, records.Grant{}, quota.reductionTo("c", records.Grant{Cores: 6}), "no grant, so nothing to release")
}
