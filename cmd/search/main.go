// Command search looks for scenarios in which a controller violates an invariant. It walks over all
// combinations of a protocol step and a fault, runs random scenarios, or replays a scenario from a
// file.
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
