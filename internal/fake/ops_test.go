package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
)

// guests adds a team that has neither a guarantee nor a limit.
func guests(cfg core.Config) core.Config {
	cfg.Teams = append(cfg.Teams, core.Team{Name: "guest"})
	return cfg
}

func TestAGuestTeamWithoutGuaranteeAndLimitIsServed(t *testing.T) {
	w := New(61, guests(Settings()))
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	w.Run(3 * time.Second)
	// An array larger than any team's limit at once, and many single tasks.
	large := spec("job-1", "guest", 120, 2)
	large.Class, large.Priority = "scan", 3
	jobs := []*Job{w.Submit(large, 6*time.Second)}
	for i := range 60 {
		s := spec(fmt.Sprintf("job-%d", 100+i), "guest", 1, 0.25)
		s.Class, s.Priority = "check", 3
		jobs = append(jobs, w.Submit(s, 10*time.Second))
	}
	own := w.Submit(spec("job-2", "red", 6, 2), 8*time.Second)
	ends(t, w, own, 90*time.Second)
	for _, j := range jobs {
		ends(t, w, j, 5*time.Minute)
		assert.Equal(t, core.Complete, j.Told)
	}
	w.Referee.Served()
	require.True(t, w.Until(3*time.Minute, allGone(w)), "machines go back")
	for _, n := range w.Nodes {
		assert.Empty(t, n.Core.Residents(), "nothing is held for them afterwards")
	}
}
