package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"papayapaddle/internal/conductor"
	"papayapaddle/platform"
)

// stopTimeoutMargin is added to the platform's grace, which bounds a shutdown from
// inside.
const stopTimeoutMargin = time.Second

func serveCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one router on the users' platform",
		Description: "Reads the platform's settings file, whose path is in " + platform.SettingsVariable +
			". SIGTERM shuts down gracefully, SIGHUP reads the settings again.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the process's settings `FILE` (JSON)", Sources: cli.EnvVars(platform.SettingsVariable)},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return fmt.Errorf("no settings: use --settings FILE or set %s", platform.SettingsVariable)
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			return runPlatformRouter(ctx, settings, path, out)
		},
	}
}

func runPlatformRouter(ctx context.Context, settings platform.Settings, path string, out io.Writer) error {
	router := conductor.New(settings, out)
	if err := router.Err(); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	// It is caught until the process has ended: one that comes while the router stops
	// must not kill it.
	signal.Notify(reload, syscall.SIGHUP)
	if err := router.Start(ctx); err != nil {
		if ctx.Err() != nil {
			fmt.Fprintln(out, "event=stopped-at-start err="+fmt.Sprintf("%q", err))
			return nil
		}
		return err
	}
	for {
		select {
		case <-reload:
			newSettings, err := platform.LoadSettings(path)
			if err != nil {
				fmt.Fprintln(out, "event=reload-failed err="+fmt.Sprintf("%q", err))
				continue
			}
			router.Reload(newSettings)
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.Background(), settings.Bounds.Grace()+stopTimeoutMargin)
			defer cancel()
			return router.Stop(stopCtx)
		}
	}
}
