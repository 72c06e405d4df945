// Package commander is the command line of the binary: one file for each group
// of commands. Commands only read their arguments and call other packages.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"papayapaddle/internal/assembler"
	"papayapaddle/internal/configurer"
	"papayapaddle/internal/demonstrator"
)

// New returns the command line. Answers go to out, logs to errOut.
func New(out, errOut io.Writer) *cli.Command {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(errOut))
	return &cli.Command{
		Name:      "papayapaddle",
		Usage:     "routers that share model servers and plain services fairly between workspaces",
		Writer:    out,
		ErrWriter: errOut,
		// The error is printed once, by the caller, and not with the help.
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		ExitErrHandler: func(context.Context, *cli.Command, error) {
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unknown command %q; papayapaddle --help lists the commands", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
		Commands: []*cli.Command{
			routerCommand(logger),
			serveCommand(out),
			demoCommand(out, logger),
			measureCommand(out, logger),
			checkCommand(out),
			generateCommand(out),
			diffCommand(out),
			applyCommand(out),
			dumpCommand(out),
			claimCommand(out),
			emulateCommand(out, logger),
			loadCommand(out),
			rehearseCommand(out),
			explainCommand(out),
		},
	}
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w; see papayapaddle %s --help", err, c.Name)
}

func demoCommand(out io.Writer, logger log.Logger) *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run stand-ins and two routers in this process and print how to call them",
		OnUsageError: usageError,
		Action: func(ctx context.Context, _ *cli.Command) error {
			return demonstrator.Demo(ctx, out, logger)
		},
	}
}

func routerCommand(logger log.Logger) *cli.Command {
	return &cli.Command{
		Name: "router", Usage: "run one router",
		Description: "The first SIGINT or SIGTERM shuts down gracefully: every accepted request is finished. " +
			"A second one ends the waiting requests with their true outcome and exits.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the process's settings `FILE` (YAML)", Required: true},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := configurer.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return runRouter(ctx, settings, logger)
		},
	}
}

func runRouter(ctx context.Context, settings configurer.Settings, logger log.Logger) error {
	router := assembler.New(assembler.Options{Settings: settings, Logger: logger})
	if err := router.Err(); err != nil {
		return err
	}
	if err := router.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	abortCtx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := router.Stop(abortCtx)
	if abortCtx.Err() != nil {
		return errors.New("stopped before all requests were finished")
	}
	return err
}
