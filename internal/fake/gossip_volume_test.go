package fake

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"roadcleat/internal/core"
	"roadcleat/internal/model"
)

// byteCounter counts what gob makes of messages.
type byteCounter int

func (n *byteCounter) Write(b []byte) (int, error) {
	*n += byteCounter(len(b))
	return len(b), nil
}

func TestGossipVolumeWithAQuarterOfSmallJobsCancelled(t *testing.T) {
	cfg := Settings()
	cfg.Teams[0].Limit = model.Resources{Cores: 400}
	w := NewWith(120, cfg, "a", "b", "c", "a", "b", "c", "a")
	t.Cleanup(func() { assert.Empty(t, w.Referee.Broken, "rules") })
	for k := range w.Cloud.Room {
		w.Cloud.Room[k] = 20
	}
	w.Run(5 * time.Second)
	var repeated, told int
	var all, cancellations byteCounter
	allSent, cancellationsSent := gob.NewEncoder(&all), gob.NewEncoder(&cancellations)
	w.OnPeerMessage = func(_, _ string, m core.Message) {
		if m.Gossip == nil {
			return
		}
		require.NoError(t, allSent.Encode(m))
		require.NoError(t, cancellationsSent.Encode(m.Gossip.Cancellations))
		repeated += len(m.Gossip.Cancellations)
	}
	var jobs []*Job
	const minutes = 3
	for i := range minutes * 60 * 4 {
		s := spec(fmt.Sprintf("job-%d", i), "red", 1, 2)
		job := w.Submit(s, 12*time.Second)
		jobs = append(jobs, job)
		if i%4 == 0 {
			w.After(time.Duration(w.Rng.IntN(15000))*time.Millisecond, func() { w.Cancel(job) })
		}
		w.Run(250 * time.Millisecond)
	}
	for _, j := range jobs {
		ends(t, w, j, 2*time.Minute)
		if j.Told == model.JobCancelled {
			told++
		}
	}
	t.Logf("%d cancelled; each repeated %.1f times to each other controller; gossip %d bytes/s a controller, %d of it withdrawals",
		told, float64(repeated)/float64(told*7*6), int(all)/7/(minutes*60), int(cancellations)/7/(minutes*60))
	assert.Greater(t, told, minutes*60*3/4, "a quarter is cancelled")
	assert.Less(t, float64(repeated)/float64(told*7*6), 4.0, "repeated until it has been heard")
}
