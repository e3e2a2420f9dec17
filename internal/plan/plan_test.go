package plan

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/model"
)

// exhaustiveFinish is the earliest finish that any order of steps on any devices has.
func exhaustiveFinish(steps []Step, devices []*Device, now float64) float64 {
	best := -1.0
	g := &graph{steps, devices, now}
	var walk func(p *partial)
	walk = func(p *partial) {
		if p.done == 1<<len(steps)-1 {
			if best < 0 || p.end < best {
				best = p.end
			}
			return
		}
		for i := range steps {
			if !p.placed(i) && p.readyFor(&steps[i]) {
				for _, extended := range p.extend(g, i) {
					walk(extended)
				}
			}
		}
	}
	walk(newPartial(g))
	return best
}

func TestSmallGraphsMatchExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for round := 0; round < 150; round++ {
		devices := make([]*Device, 2+rng.IntN(2))
		for d := range devices {
			devices[d] = &Device{
				Total:        model.Resources{Cores: float64(1 + rng.IntN(3))},
				SecondsPerGB: 5,
				Slowdown:     1 + rng.Float64()/2,
				UpAt:         float64(rng.IntN(20)),
			}
		}
		steps := make([]Step, 2+rng.IntN(3))
		for i := range steps {
			steps[i] = Step{
				Tasks:   1,
				Need:    model.Resources{Cores: 1},
				RunTime: float64(1 + rng.IntN(30)),
				Image:   rng.IntN(3) - 1,
				ImageGB: 2,
			}
			for j := 0; j < i; j++ {
				if rng.IntN(2) == 0 {
					steps[i].Inputs = append(steps[i].Inputs, j)
				}
			}
		}
		got := Solve(steps, devices, 0, 1<<20)
		require.True(t, got.Complete)
		require.Len(t, got.Placements, len(steps))
		assert.InDelta(t, exhaustiveFinish(steps, devices, 0), got.Finish, 1e-9, "round %d", round)
	}
}

func TestQueuedFetchesAndQueueWaitCount(t *testing.T) {
	busy := &Device{
		Total:        model.Resources{Cores: 4},
		SecondsPerGB: 5,
		Images:       []Held{{0, 0}},
		Uses:         []Use{{0, 30, model.Resources{Cores: 4}}},
	}
	idle := &Device{Total: model.Resources{Cores: 4}, SecondsPerGB: 5, FetchesDoneAt: 10}
	step := Step{Tasks: 1, Need: model.Resources{Cores: 2}, RunTime: 20, ImageGB: 2}
	got := Solve([]Step{step}, []*Device{busy, idle}, 0, 8)
	require.True(t, got.Complete)
	assert.Equal(t, 1, got.Placements[0].Device)
	assert.Equal(t, 40.0, got.Finish) // queued fetches until 10, own fetch until 20, run until 40

	idle.FetchesDoneAt = 25 // now waiting for the busy machine is earlier
	got = Solve([]Step{step}, []*Device{busy, idle}, 0, 8)
	assert.Equal(t, 0, got.Placements[0].Device)
	assert.Equal(t, 50.0, got.Finish)
}

func TestShortWorkFillsGapsBeforeReservedRoom(t *testing.T) {
	d := &Device{Total: model.Resources{Cores: 8}, Uses: []Use{{0, 50, model.Resources{Cores: 4}}}}
	big := Step{Need: model.Resources{Cores: 8}, RunTime: 10, Image: -1}
	small := Step{Need: model.Resources{Cores: 2}, RunTime: 10, Image: -1}
	var starts []float64
	visit := func(p Placement) bool {
		starts = append(starts, p.Start)
		return true
	}
	Spread(&big, 1, []*Device{d}, 0, visit)
	Spread(&small, 1, []*Device{d}, 0, visit)
	assert.Equal(t, []float64{50, 0}, starts)
}

func TestGangWaitsUntilAllItsTasksHaveRoom(t *testing.T) {
	free := &Device{Total: model.Resources{Cores: 4}}
	busy := &Device{Total: model.Resources{Cores: 4}, Uses: []Use{{0, 30, model.Resources{Cores: 4}}}}
	gang := Step{Need: model.Resources{Cores: 4}, RunTime: 10, Image: -1, Gang: true}
	var starts []float64
	visit := func(p Placement) bool {
		starts = append(starts, p.Start)
		return true
	}
	require.Equal(t, 2, Spread(&gang, 2, []*Device{free, busy}, 0, visit))
	assert.Equal(t, []float64{30, 30}, starts)
}

func TestFrontierBoundStillGivesACompleteSchedule(t *testing.T) {
	steps := make([]Step, 12)
	for i := range steps {
		steps[i] = Step{Tasks: 1, Need: model.Resources{Cores: 1}, RunTime: float64(1 + i%4), Image: -1}
		if i > 1 {
			steps[i].Inputs = []int{i - 2}
		}
	}
	devices := make([]*Device, 3)
	for d := range devices {
		devices[d] = &Device{Total: model.Resources{Cores: 1}}
	}
	got := Solve(steps, devices, 0, 16)
	require.True(t, got.Complete)
	assert.Len(t, got.Placements, 12)
	assert.False(t, Solve([]Step{{Tasks: 1, Need: model.Resources{Cores: 9}}}, devices, 0, 16).Complete)
}

// spreadByTryingAll is Spread as the paper states it: every machine is tried for every task.
func spreadByTryingAll(s *Step, tasks int, devices []*Device, ready float64) []Placement {
	var placements []Placement
	for task := range tasks {
		d := (&partial{}).earliestDevice(s, devices, ready)
		if d < 0 {
			break
		}
		start, finish, _ := devices[d].earliestFit(s, ready)
		devices[d].place(s, start, finish)
		placements = append(placements, Placement{0, task, d, start, finish})
	}
	return placements
}

func randomDevice(rng *rand.Rand) *Device {
	d := &Device{
		Kind:          rng.IntN(3),
		Total:         model.Resources{Cores: float64(2 + 2*rng.IntN(4)), MemoryGB: 32},
		SecondsPerGB:  2,
		Slowdown:      1,
		UpAt:          float64(rng.IntN(3) * 10),
		FetchesDoneAt: float64(rng.IntN(20)),
		Penalty:       float64(rng.IntN(2)),
	}
	for range rng.IntN(5) {
		d.Uses = append(d.Uses, Use{0, float64(rng.IntN(40)), model.Resources{Cores: 1, MemoryGB: 4}})
	}
	if rng.IntN(2) == 0 {
		d.Images = append(d.Images, Held{rng.IntN(3), float64(rng.IntN(15))})
	}
	return d
}

func randomStep(rng *rand.Rand) *Step {
	return &Step{
		Need:    model.Resources{Cores: float64(1 + rng.IntN(4)), MemoryGB: 4},
		RunTime: float64(1 + rng.IntN(20)),
		Image:   rng.IntN(4) - 1,
		ImageGB: 3,
		Cost:    func(kind int) float64 { return float64(kind) * 3 },
		Allowed: func(kind int) bool { return kind != 2 },
	}
}

func TestSpreadPicksWhatTryingEveryMachineWould(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 8))
	for round := 0; round < 300; round++ {
		var one, two []*Device
		for range 1 + rng.IntN(12) {
			d := randomDevice(rng)
			one, two = append(one, d), append(two, d.clone())
		}
		for range 4 {
			s, tasks := randomStep(rng), 1+rng.IntN(20)
			var got []Placement
			Spread(s, tasks, one, 5, func(p Placement) bool {
				got = append(got, p)
				return true
			})
			require.Equal(t, spreadByTryingAll(s, tasks, two, 5), got, "round %d", round)
		}
	}
}

func TestWorkThatMustStartNowTakesFreeMachinesOnly(t *testing.T) {
	cached := &Device{
		Total:        model.Resources{Cores: 2},
		SecondsPerGB: 10,
		Images:       []Held{{0, 0}},
		Uses:         []Use{{0, 5, model.Resources{Cores: 2}}},
	}
	free := &Device{Total: model.Resources{Cores: 4}, SecondsPerGB: 10}
	step := Step{Need: model.Resources{Cores: 2}, RunTime: 20, ImageGB: 3}
	var chosen []int
	visit := func(p Placement) bool {
		chosen = append(chosen, p.Device)
		return len(chosen) < 1
	}
	require.Equal(t, 1, Spread(&step, 4, []*Device{cached, free}, 0, visit))
	assert.Equal(t, []int{0}, chosen, "waiting for the image is earlier than fetching it")
	chosen, step.StartBy = nil, 0.05
	visit = func(p Placement) bool {
		chosen = append(chosen, p.Device)
		assert.Zero(t, p.Start)
		return true
	}
	assert.Equal(t, 2, Spread(&step, 3, []*Device{cached, free}, 0, visit))
	assert.Equal(t, []int{1, 1}, chosen)
}

func TestAGangOfShortTasksStartsWholeThoughSomeWouldEndCheaperOneAfterAnother(t *testing.T) {
	// A gang waited for ever beside idle machines (found on a random day).
	cost := func(kind int) float64 { return float64(kind) * 3 }
	fleet := func() []*Device {
		return []*Device{
			{Total: model.Resources{Cores: 4}},
			{Kind: 1, Total: model.Resources{Cores: 16}},
			{Kind: 1, Total: model.Resources{Cores: 4}},
		}
	}
	s := Step{Gang: true, Tasks: 3, Need: model.Resources{Cores: 4}, RunTime: 1, Image: -1, Cost: cost}
	var starts []float64
	placed := Spread(&s, 3, fleet(), 10, func(p Placement) bool {
		starts = append(starts, p.Start)
		return true
	})
	assert.Equal(t, 3, placed)
	assert.Equal(t, []float64{10, 10, 10}, starts)
	for _, p := range Solve([]Step{s}, fleet(), 10, 16).Placements {
		assert.Equal(t, 10.0, p.Start)
	}
}
