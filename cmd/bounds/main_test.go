package main

import (
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const small = `
name = "small"
duration_s = 100.0
[[machine_types]]
name = "m"
cpus = 10.0
price = 4.0
spot_price = 1.0
fetch_gb_per_s = 0.5
boot_s = 20.0
[[capacity]]
type = "m"
count = 1
spot = 1
[[jobs]]
name = "work"
cpus = 1.0
tasks = { median = 2.0, p95 = 2.0, max = 2.0 }
run_s = { median = 10.0, p95 = 10.0, max = 10.0 }
arrivals = { rate = 1.0 }
images = { count = 2, gb = { median = 1.0, p95 = 1.0, max = 1.0 } }
[[day]]
name = "d"
faults = [ { at_s = 1.0, kind = "state_outage", for_s = 25.0 }, { at_s = 1.0, kind = "cloud_outage", for_s = 25.0 } ]
`

func TestBoundsOfASmallSite(t *testing.T) {
	var s site
	_, err := toml.Decode(small, &s)
	require.NoError(t, err)
	total, _ := s.demand()
	assert.InDelta(t, 20, total, 1e-9)           // 1 job/s of 2 tasks of 10 s
	assert.InDelta(t, 2.5, s.priceBound(), 1e-9) // half at 0.1, half at 0.4 a core
	assert.InDelta(t, 2000.0/(2000+400+4), s.usefulBound(), 1e-9)
	assert.InDelta(t, 0.75, s.submitBound(s.Days[0]), 1e-9)
	var out strings.Builder
	report(&out, &s)
	assert.Contains(t, out.String(), "20 of 20 cores")
	assert.Greater(t, spread{2, 9, 15}.mean(), 2.0)
}
