// Command citronrock is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/root"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return root.Main(ctx, deps.New(), os.Args[1:])
}
