// Command verbenakeel is the command line client of the operators of a verbenakeel deployment.
package main

import (
	"os"

	"github.com/verbenakeel/verbenakeel/daemon"
	"github.com/verbenakeel/verbenakeel/operator"
)

func main() {
	ctx, stop := daemon.Context()
	code := operator.Run(ctx, os.Args[1:], operator.StandardStreams())
	stop()
	os.Exit(code)
}
