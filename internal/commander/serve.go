package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
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
			&cli.StringFlag{
				Name: "hedge-percent", Sources: cli.EnvVars(hedgePercentVariable),
				Usage: "send a request that may be repeated to a second server when its answer is late, for at most this " +
					"`PERCENT` of the work of its service; 0 or empty: never",
			},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return fmt.Errorf("no settings: use --settings FILE or set %s", platform.SettingsVariable)
			}
			hedgePercent, err := parseHedgePercent(c.String("hedge-percent"))
			if err != nil {
				return err
			}
			reload := make(chan os.Signal, 1)
			// SIGHUP is handled before the settings are read, so that no change of them is missed, and stays caught
			// until the process exits, so that one during shutdown does not kill it.
			signal.Notify(reload, syscall.SIGHUP)
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			settings.HedgePercent = hedgePercent
			return runPlatformRouter(ctx, settings, path, reload, out)
		},
	}
}

// hedgePercentVariable is the environment variable for --hedge-percent.
const hedgePercentVariable = "PAPAYAPADDLE_HEDGE_PERCENT"

// parseHedgePercent returns the limit of the extra work of hedges. Empty text means 0.
func parseHedgePercent(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	percent, err := strconv.ParseFloat(text, 64)
	// The comparison is false for NaN.
	if err != nil || !(percent >= 0 && percent <= 100) {
		return 0, fmt.Errorf("--hedge-percent or %s: %q is no number from 0 to 100", hedgePercentVariable, text)
	}
	return percent, nil
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
			newSettings.HedgePercent = settings.HedgePercent
			router.Reload(newSettings)
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.Background(), settings.Bounds.GracePeriod()+stopTimeoutMargin)
			defer cancel()
			return router.Stop(stopCtx)
		}
	}
}
