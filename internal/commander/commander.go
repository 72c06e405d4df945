// Package commander implements the command-line interface. Commands parse their
// arguments and leave the work to other packages.
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

// New returns the root command. Command output goes to out, logs go to errOut.
func New(out, errOut io.Writer) *cli.Command {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(errOut))
	return &cli.Command{
		Name:      "papayapaddle",
		Usage:     "route requests to model and service pools, shared fairly between workspaces",
		Writer:    out,
		ErrWriter: errOut,
		// The caller prints the error; by default, the library prints it with the help text.
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		ExitErrHandler: func(context.Context, *cli.Command, error) {
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unknown command %q; run papayapaddle --help for a list of commands", c.Args().First())
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

// usageError adds a pointer to the command's help.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w; see papayapaddle %s --help", err, c.Name)
}

func demoCommand(out io.Writer, logger log.Logger) *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run two routers, an emulated platform and backend servers, and print how to call them",
		OnUsageError: usageError,
		Action: func(ctx context.Context, _ *cli.Command) error {
			return demonstrator.Demo(ctx, out, logger)
		},
	}
}

// routerCommand runs a router of package assembler, which the apply command configures.
func routerCommand(logger log.Logger) *cli.Command {
	return &cli.Command{
		Name: "router", Usage: "run one router",
		Description: "The first SIGINT or SIGTERM shuts down gracefully: accepted requests run to completion. " +
			"A second signal aborts open requests, reports each one's outcome to its caller and exits.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this router (YAML)", Required: true},
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
		return errors.New("shutdown was aborted before all requests completed")
	}
	return err
}
