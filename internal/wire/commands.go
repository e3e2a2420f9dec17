package wire

import "roadcleat/internal/core"

var verbs = map[core.Verb]string{
	core.VerbLaunch:       "launch",
	core.VerbStop:         "halt",
	core.VerbForgetExited: "clear",
}

type command struct {
	Verb         string   `json:"Verb"`
	Task         string   `json:"Sheet"`
	Attempt      uint64   `json:"Try"`
	GraceSeconds *float64 `json:"LeewayS,omitempty"` // of a stop only, also if it is 0
}

// commandList carries commands to a worker with the owner's fencing token. Commands that do
// not reply to a heartbeat also name the worker's incarnation that they are for.
type commandList struct {
	Token       uint64    `json:"Baton"`
	Incarnation *uint64   `json:"Shift,omitempty"`
	Commands    []command `json:"Orders"`
}

func commandsOf(list []core.Command) []command {
	out := make([]command, 0, len(list))
	for _, c := range list {
		w := command{Verb: verbs[c.Verb], Task: formatTask(c.Task), Attempt: c.Attempt}
		if c.Verb == core.VerbStop {
			w.GraceSeconds = &c.GracePeriodSeconds
		}
		out = append(out, w)
	}
	return out
}

// EncodeCommands writes the body of a worker's POST /orders.
func EncodeCommands(op core.SendCommands) []byte {
	return encode(commandList{
		Token:       op.Token,
		Incarnation: &op.Incarnation,
		Commands:    commandsOf(op.Commands),
	})
}

// EncodeHeartbeatReply writes the body with which POST /agent/beat replies to a worker whose
// shard this controller owns.
func EncodeHeartbeatReply(token uint64, commands []core.Command) []byte {
	return encode(commandList{Token: token, Commands: commandsOf(commands)})
}

// EncodeRedirect writes the body with which POST /agent/beat replies to a worker of another
// controller's shard. It names that controller, unless owner is empty.
func EncodeRedirect(owner string) []byte {
	return encode(struct {
		Owner string `json:"Foreman,omitempty"`
	}{owner})
}
