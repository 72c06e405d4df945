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

// stopTimeoutMargin extends the stop timeout beyond the grace period, which the router itself
// enforces.
const stopTimeoutMargin = time.Second

// serveCommand runs a router of package conductor, which works with the users' platform; see
// package platform.
func serveCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one router on the users' platform",
		Description: "Reads the settings file named by --settings or " + platform.SettingsVariable +
			". SIGTERM shuts down gracefully; SIGHUP reloads the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this router (JSON)", Sources: cli.EnvVars(platform.SettingsVariable)},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return fmt.Errorf("no settings: use --settings FILE or set %s", platform.SettingsVariable)
			}
			reload := make(chan os.Signal, 1)
			// SIGHUP is handled before the settings are read, so that no change of them is missed, and stays caught
			// until the process exits, so that one during shutdown does not kill it.
			signal.Notify(reload, syscall.SIGHUP)
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			return runPlatformRouter(ctx, settings, path, reload, out)
		},
	}
}

func runPlatformRouter(
	ctx context.Context, settings platform.Settings, path string, reload <-chan os.Signal, out io.Writer,
) error {
	router := conductor.New(settings, out)
	if err := router.Err(); err != nil {
		return err
	}
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
			stopCtx, cancel := context.WithTimeout(context.Background(), settings.Bounds.GracePeriod()+stopTimeoutMargin)
			defer cancel()
			return router.Stop(stopCtx)
		}
	}
}
