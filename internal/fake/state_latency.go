package fake

import (
	"time"

	"roadcleat/internal/core"
)

// slowResponses is a fault of limited duration during which the state service answers some requests
// late, as a busy service does now and then. Each request draws its own delays, so listings, reads,
// transactions and watches of one controller overtake each other.
type slowResponses struct {
	node  string // the controller concerned, or "" for all
	until time.Duration
}

// Delays of slow responses. A request is executed after a share of its delay, and the reply is sent
// after the rest.
const (
	slowResponseShare = 0.3 // share of the requests that are answered late
	maxResponseDelay  = 1900 * time.Millisecond
)

// slowResponsesFor makes the state service answer some requests of a controller late, for a duration
// of d. An empty name means all controllers.
func (s *StateService) slowResponsesFor(node string, d time.Duration) {
	s.slowResponses = append(s.slowResponses, slowResponses{node, s.simulation.beginFaultPeriod(d)})
}

// drawResponseDelay draws by how much the execution of a controller's request and the reply to it are
// delayed.
func (s *StateService) drawResponseDelay(node string) (execution, reply time.Duration) {
	sim := s.simulation
	for _, slow := range s.slowResponses {
		if sim.Now >= slow.until || slow.node != "" && slow.node != node {
			continue
		}
		if sim.Rand.Float64() >= slowResponseShare {
			return 0, 0
		}
		delay := sim.Rand.Float64() * float64(maxResponseDelay)
		executionShare := sim.Rand.Float64()
		return time.Duration(delay * executionShare), time.Duration(delay * (1 - executionShare))
	}
	return 0, 0
}

// withDelays returns exec, delayed by what RequestDelay returns for the request and by the delays of
// slow responses. They do not extend the sender's timeout.
func (s *StateService) withDelays(
	node string, op core.Operation, exec func(func(core.Result)),
) func(func(core.Result)) {
	execution, reply := s.drawResponseDelay(node)
	if s.RequestDelay != nil {
		execution += s.RequestDelay(node, op)
	}
	if s.ReplyDelay != nil {
		reply += s.ReplyDelay(node, op)
	}
	if execution == 0 && reply == 0 {
		return exec
	}
	sendReply := func(send func(core.Result)) func(core.Result) {
		return func(res core.Result) { s.simulation.After(reply, func() { send(res) }) }
	}
	return func(send func(core.Result)) {
		s.simulation.After(execution, func() { exec(sendReply(send)) })
	}
}
