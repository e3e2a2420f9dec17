// Command codecheck holds the code to the rules in .ci/codecheck.toml: words of the protocol
// and of earlier names stay within their boundary, packages import one way, and files stay
// short. It prints each violation as file:line: text and exits with 1 if there is any.
package main

import (
	"fmt"
	"io"
	"os"
)

const rulesFile = ".ci/codecheck.toml"

func main() {
	os.Exit(run(".", os.Stdout))
}

// run checks the repository at a directory and returns the exit status: 0 if it keeps the
// rules, 1 if not, 2 if they cannot be checked.
func run(dir string, out io.Writer) int {
	rules, err := loadRules(dir)
	if err != nil {
		fmt.Fprintln(out, "codecheck:", err)
		return 2
	}
	violations, err := rules.check(dir)
	if err != nil {
		fmt.Fprintln(out, "codecheck:", err)
		return 2
	}
	for _, v := range violations {
		fmt.Fprintln(out, v)
	}
	if len(violations) > 0 {
		return 1
	}
	return 0
}
