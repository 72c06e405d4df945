// Command papayapaddle runs routers and the tools to operate and test them; see its --help.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"papayapaddle/internal/commander"
	// SIGHUP is ignored from the start of the process.
	_ "papayapaddle/internal/ignorer"
)

func main() {
	// Without cgo, package ignorer does nothing. The serve command handles the signal before it reads the settings.
	signal.Ignore(syscall.SIGHUP)
	// The signals stay caught until the process exits, so that a second one just before the exit
	// does not kill the process after a clean shutdown.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if err := commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayapaddle:", err)
		os.Exit(1)
	}
}
