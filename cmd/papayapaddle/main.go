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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "papayapaddle:", err)
		os.Exit(1)
	}
}
