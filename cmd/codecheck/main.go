// Command codecheck checks the repository's Go code against the rules in .ci/codecheck.toml:
// words of the wire protocol and of former names appear only in the allowed files, packages import
// only the packages allowed for them, and files do not exceed a number of lines. It prints each
// violation as file:line: message and exits with status 1 if there is any.
package main

import (
	"fmt"
	"io"
	"os"
)

// rulesPath is the path of the rules file in the repository.
const rulesPath = ".ci/codecheck.toml"

func main() {
	os.Exit(run(".", os.Stdout))
}

// run checks the repository in a directory and returns the exit status: 0 without violations, 1
// with violations, 2 if the check itself fails.
func run(dir string, out io.Writer) int {
	rules, err := loadRules(dir)
	if err != nil {
		fmt.Fprintln(out, "codecheck:", err)
		return 2
	}
	violations, err := rules.checkDirectory(dir)
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
