// Command papayapaddle is the router fleet's one binary; see its help.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"papayapaddle/internal/commander"
)

func main() {
	// Settings that change while the process starts are read at its start.
	signal.Ignore(syscall.SIGHUP)
	// Signals are caught until the process has ended: a second one that comes in its
	// last moment must not turn a clean stop into a kill.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if err := commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayapaddle:", err)
		os.Exit(1)
	}
}
