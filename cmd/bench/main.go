// Command bench simulates a fleet and compares the decisions of the core with those
// of baseline policies.
package main

import (
	"fmt"
	"os"

	"citronrock.example/citronrock/internal/bench/decide"
)

func main() {
	if err := decide.Main(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
