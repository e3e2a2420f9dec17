// Command roadcleat runs a controller of the cluster scheduler, and asks a running one.
//
// Its exit statuses are 0, 1 for an error, 2 for wrong settings, and 3 if `status
// --stuck-after` found something that has waited too long. Errors are one line on stderr.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
