// Command roadcleat runs a controller of the cluster scheduler, checks its settings, and queries
// a running controller.
//
// The exit status is 0 for success, 1 for an error, 2 for rejected settings, and 3 if `status
// --stuck-after` finds a queue or service that has waited for longer than the given time. An
// error is printed as one line on stderr.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
