package fake

import (
	"time"

	"roadcleat/internal/core"
)

// withDelays returns exec, delayed by what RequestDelay returns for the request, and with a reply delayed by what
// ReplyDelay returns. They do not extend the sender's timeout.
func (s *StateService) withDelays(
	node string, op core.Operation, exec func(func(core.Result)),
) func(func(core.Result)) {
	execution, reply := time.Duration(0), time.Duration(0)
	if s.RequestDelay != nil {
		execution = s.RequestDelay(node, op)
	}
	if s.ReplyDelay != nil {
		reply = s.ReplyDelay(node, op)
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
