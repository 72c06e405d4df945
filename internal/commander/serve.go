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

// stopSlack is added to the platform's grace, which bounds a shutdown from
// inside.
const stopSlack = time.Second

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
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			return runOnPlatform(ctx, s, path, out)
		},
	}
}

func runOnPlatform(ctx context.Context, s platform.Settings, path string, out io.Writer) error {
	r := conductor.New(s, out)
	if err := r.Err(); err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	// It is caught until the process has ended: one that comes while the router stops
	// must not kill it.
	signal.Notify(hup, syscall.SIGHUP)
	if err := r.Start(ctx); err != nil {
		if ctx.Err() != nil {
			fmt.Fprintln(out, "event=stopped-at-start err="+fmt.Sprintf("%q", err))
			return nil
		}
		return err
	}
	for {
		select {
		case <-hup:
			next, err := platform.LoadSettings(path)
			if err != nil {
				fmt.Fprintln(out, "event=reload-failed err="+fmt.Sprintf("%q", err))
				continue
			}
			r.Reload(next)
		case <-ctx.Done():
			stop, cancel := context.WithTimeout(context.Background(), s.Bounds.GracePeriod()+stopSlack)
			defer cancel()
			return r.Stop(stop)
		}
	}
}
