// Command bounds reads a site file and prints, for each of its service-level objectives,
// how good the figure could be at best on a day, whatever the scheduler does. The bounds
// are coarse on purpose: each leaves out everything but the one cause it names. Sites with
// services or GPUs get a line for each objective, see reportObjectives.
package main

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Exit statuses.
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
