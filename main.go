// Samphirewharf serves a large catalogue of rarely used models.
package main

import (
	"context"
	"os"

	"samphirewharf/internal/command/runner"
)

func main() {
	r := runner.Runner{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(r.Run(context.Background(), os.Args[1:]))
}
