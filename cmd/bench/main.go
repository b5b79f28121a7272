// Command bench measures the decisions of the core against baselines.
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
