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
	assert.Greater(t, spread{Median: 2, P95: 9, Max: 15}.mean(), 2.0)
}

func TestReportOfASiteWithoutServicesAndGPUs(t *testing.T) {
	var s site
	_, err := toml.Decode(small, &s)
	require.NoError(t, err)
	var out strings.Builder
	report(&out, &s)
	assert.Equal(t, `small: 20 of 20 cores run tasks on average
  work: 20 cores on average; m boots 20 s, fetches its median image in 2.0 s
  price at least 2.50; useful at most 0.83
  d: submissions accepted in time at most 0.750
`, out.String())
}

const services = `
name = "services"
duration_s = 200.0
warmup_s = 50.0
[state]
write_rps = 4.0
[[machine_types]]
name = "m"
cpus = 10.0
gpus = 4.0
memory_gb = 100.0
price = 4.0
spot_price = 1.0
fetch_gb_per_s = 0.5
boot_s = 20.0
cache_gb = 8.0
[[jobs]]
name = "live"
kind = "service"
cpus = 1.0
gpus = 1.0
memory_gb = 10.0
tasks = { sizes = [2, 4], weights = [1.0, 1.0] }
run_s = { median = 1000.0, p95 = 1000.0, max = 1000.0 }
initial = 10
arrivals = { rate = 0.1 }
images = { count = 2, gb = { median = 5.0, p95 = 5.0, max = 5.0 } }
[[targets]]
kind = "up"
class = "live"
after_s = 5.0
share = 0.9
worst_s = 30.0
best = 0.1
[[targets]]
kind = "wait"
class = "live"
within_s = 10.0
share = 0.4
[[targets]]
kind = "price"
most = 1.8
best = 1.3
[[targets]]
kind = "node_restarts"
[[day]]
name = "d"
`

func TestBoundsOfServicesOnGPUs(t *testing.T) {
	var s site
	_, err := toml.Decode(services, &s)
	require.NoError(t, err)
	live := s.class("live")
	part, binds := s.Types[0].share(live)
	assert.Equal(t, 0.25, part)
	assert.Equal(t, "cards", binds)
	assert.Equal(t, 4.0, s.Types[0].cheapest(live), "it may not use spot instances")
	assert.InDelta(t, 30, s.alive(live, 0.4), 1e-9)
	assert.InDelta(t, 30+0.3*100, s.alive(live, 100), 0.3)

	luckiest := coldAtBest
	assert.InDelta(t, 12+7.5, s.times(live, luckiest)[0], 1e-9, "0.6 of the boot, and 5 GB at four thirds of the rate")
	luckiest.images = 2
	assert.InDelta(t, 12+15, s.times(live, luckiest)[0], 1e-9, "two images share it")
	fetch := start{fetch: true, luck: usual}
	assert.InDelta(t, 0.5, s.waitBound(s.Targets[1], fetch), 1e-9, "10 s at the rate itself")
	assert.InDelta(t, 1, s.waitBound(s.Targets[1], start{}), 1e-9)

	up := s.Targets[0]
	assert.InDelta(t, 1, s.upBound(up, luckiest, start{}), 1e-9, "all are up before anything counts")
	dead := start{boot: true, fetch: true, images: 1e6, luck: best}
	assert.InDelta(t, 0.3*45/(30+0.3*45), s.upIn(live, 5, 49, 51, dead, start{}), 0.01, "only what came later is up")
	// What must fetch for 7.5 s is missing for 2.5 s of those that count.
	later := start{fetch: true, luck: best}
	assert.InDelta(t, 1-0.3*2.5/(30+0.3*45), s.upIn(live, 5, 49, 51, luckiest, later), 0.005)

	assert.InDelta(t, 1-19.5/200, s.usefulTimeBound(start{boot: true, fetch: true, luck: best}), 1e-6)
	var out strings.Builder
	report(&out, &s)
	for _, want := range []string{"30 tasks wanted at the start, 90 at the end; 4 on a m by cards, ordinary", "caches hold 8 GB (m)",
		"10 jobs at the start need 1.5 s", "up live from 5 s on worst 30 s: asked 0.9, bound 1.000, the site's own best 0.900",
		"wait live in 10 s: asked 0.4, bound 1.000", "binds: needs room\n", "price: asked 1.8, bound 1.11, the site's own best 1.30"} {
		assert.Contains(t, out.String(), want)
	}
	assert.NotContains(t, out.String(), "node_restarts")
}

func TestDeadlinesAreMissedByEstimatesAlone(t *testing.T) {
	var s site
	_, err := toml.Decode(services, &s)
	require.NoError(t, err)
	s.Jobs = append(s.Jobs, job{Name: "sweep", GPUs: 1, Run: spread{Median: 100, P95: 100, Max: 100}, Error: 0.6})
	s.Jobs[1].Deadline.Factor = 1
	objective := target{Kind: "deadline", Class: "sweep"}
	assert.InDelta(t, 0.5, s.deadlineBound(objective, start{}), 1e-9, "half of the estimates are too low")
	objective.Times = 2
	assert.InDelta(t, 0.876, s.deadlineBound(objective, start{}), 0.02, "one in eight is too low by half")
}

func TestTheShareBeyondIsThatOfTheLognormal(t *testing.T) {
	s := spread{Median: 600, P95: 1800, Max: 3500}
	for x, want := range map[float64]float64{0: 1, 600: 0.5, 1800: 0.05, 3500: 0} {
		assert.InDelta(t, want, s.beyond(x), 0.001, x)
	}
	assert.Equal(t, []float64{2, 2, 4, 4}, spread{Sizes: []float64{2, 4}, Weights: []float64{1, 1}}.points(4))
}
