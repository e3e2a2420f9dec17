package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const good = `{"label":"n0","location":"z","api_addr":"127.0.0.1:1","peer_listen":"127.0.0.1:2","new":{"field":1},
"others":[{"label":"n1","location":"y","peer_addr":"127.0.0.1:3"}],
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"deployment":{"zones":["z","y"],"teams":[{"name":"t","cpus":8,"cpus_max":16}],
"workers":{"report_s":3,"lease_s":14,"cancel_s":44},"state":{"rps":150,"write_rps":50,"value_kb":16,"txn_ops":12},
"cloud":{"rps":5,"list_lag_s":3},"resources":{"core_share":0.1,"memory_mb":100,"fd_limit":100}}}`

func TestSettingsAreReadAndUnknownFieldsIgnored(t *testing.T) {
	s, err := Parse([]byte(good))
	require.NoError(t, err)
	assert.Equal(t, "n1", s.Others[0].Label)
	assert.Equal(t, 16.0, s.Deployment.Teams[0].CPUsMax)
}

func TestATeamMayHaveNoGuaranteeAndNoLimit(t *testing.T) {
	for _, team := range []string{`{"name":"t"}`, `{"name":"t","cpus":0,"cpus_max":0.0}`, `{"name":"t","cpus":8}`, `{"name":"t","cpus":8,"cpus_max":0}`} {
		_, err := Parse([]byte(strings.Replace(good, `{"name":"t","cpus":8,"cpus_max":16}`, team, 1)))
		assert.NoError(t, err, team)
	}
}

func TestImpossibleSettingsAreNamed(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"zones":["z","y"]`, `"zones":[]`, "deployment.zones"},
		{`"cpus":8`, `"cpus":17`, "deployment.teams[0].cpus"},
		{`"cpus":8`, `"cpus":-1`, "deployment.teams[0]"},
		{`"127.0.0.1:5"`, `"nowhere"`, "external.state"},
		{`"label":"n1"`, `"label":"n0"`, "others[0].label"},
		{`"rps":5`, `"rps":0`, "deployment.cloud.rps"},
		{`"cancel_s":44`, `"cancel_s":10`, "cancel_s"},
		{`"memory_mb":100`, `"memory_mb":-5`, "memory_mb"},
		{`"label":"n0"`, `"label":7`, "label"},
		{`"txn_ops":12`, `"txn_ops":2`, "deployment.state.txn_ops: 2 is too few, at least 3"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		require.Error(t, err, c.to)
		assert.Contains(t, err.Error(), c.field)
		assert.NotContains(t, err.Error(), "\n")
	}
}

func TestWhatRunsPoorlyStartsWithAWarning(t *testing.T) {
	s, err := Parse([]byte(good))
	require.NoError(t, err)
	assert.Empty(t, s.Warnings())
	for _, c := range []struct{ from, to, field string }{
		{`"rps":150`, `"rps":5`, "deployment.state.rps: 5 is little for 2 controllers, 6 would do"},
		{`"write_rps":50`, `"write_rps":1.5`, "deployment.state.write_rps"},
		{`"rps":5`, `"rps":0.1`, "deployment.cloud.rps"},
		{`"memory_mb":100`, `"memory_mb":8`, "deployment.resources.memory_mb"},
		{`"fd_limit":100`, `"fd_limit":50`, "deployment.resources.fd_limit"},
	} {
		s, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		require.NoError(t, err, c.to)
		require.Len(t, s.Warnings(), 1, c.to)
		assert.Contains(t, s.Warnings()[0], c.field)
	}
}

func TestOperatorSettings(t *testing.T) {
	o, err := ParseOperator([]byte("[hiring]\nkeep_idle_s = 60\n"))
	require.NoError(t, err)
	assert.Equal(t, 60.0, o.KeepIdleS)
	assert.Equal(t, DefaultOperator().HoldS, o.HoldS)
	for _, bad := range []string{"[hiring]\nkeep_idle = 60\n", "[hiring]\nkeep_idle_s = soon\n", "[parts]\nhold_s = -1\n", "[other]\nx = 1\n"} {
		_, err := ParseOperator([]byte(bad))
		assert.Error(t, err, bad)
	}
}

func TestReadmeNamesEveryKnobWithItsDefault(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	require.NoError(t, err)
	for _, k := range Knobs() {
		assert.Contains(t, string(readme), "| `"+k.Section+"` | `"+k.Key+"` | "+k.Default+" |")
	}
}
