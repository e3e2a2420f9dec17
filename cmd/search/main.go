// Command search looks for days on which a controller breaks a rule: a systematic walk
// over pairs of a protocol's step and a trouble, random days, and single scripts again.
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
