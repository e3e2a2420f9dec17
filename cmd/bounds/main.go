// Command bounds reads site files and prints theoretical bounds on their service-level
// objectives: the best values that any scheduler could reach on the described site. The
// bounds are coarse on purpose: each considers only the causes it names and ignores all
// others. For a site with services or GPUs it prints one line per objective (see
// reportObjectives), for other sites the bounds of price and useful cost.
package main

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Exit statuses of the command.
const (
	exitUnreadable = 1
	exitUsage      = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: bounds SITE.toml ...")
		os.Exit(exitUsage)
	}
	for _, path := range os.Args[1:] {
		var s site
		if _, err := toml.DecodeFile(path, &s); err != nil {
			fmt.Fprintln(os.Stderr, "bounds:", err)
			os.Exit(exitUnreadable)
		}
		report(os.Stdout, &s)
	}
}
