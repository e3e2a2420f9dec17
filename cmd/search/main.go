// Command search looks for simulated days on which a controller breaks a rule. It walks
// over all combinations of a protocol step and a fault, plays random days, or replays a
// script.
package main

import (
	"context"
	"os"
	"os/signal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
