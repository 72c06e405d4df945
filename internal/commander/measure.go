package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"papayapaddle/internal/measurer"
)

// maxLoadSeconds limits the load duration of one experiment.
const maxLoadSeconds = 45

func measureCommand(out io.Writer, logger log.Logger) *cli.Command {
	var names strings.Builder
	for _, experiment := range measurer.Experiments() {
		fmt.Fprintf(&names, "%-20s %s\n", experiment.Name, experiment.Usage)
	}
	return &cli.Command{
		Name: "measure", Usage: "run one experiment on emulated servers and print its metrics", ArgsUsage: "NAME",
		Description: "Exits with status 1 if a metric violates its bound. Experiments:\n" + names.String(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed for arrivals, costs and faults"},
			&cli.IntFlag{Name: "routers", Value: 6, Usage: "number of routers"},
			&cli.IntFlag{Name: "seconds", Value: 30, Usage: "duration of the load, at most 45"},
			&cli.BoolFlag{Name: "baseline", Usage: "run the baseline policy instead: independent routers, each first come, first served"},
			&cli.BoolFlag{Name: "log", Usage: "print the routers' logs"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "output format, text or json"},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("measure requires the name of one experiment; see papayapaddle measure --help")
			}
			seconds, routers, format := c.Int("seconds"), c.Int("routers"), c.String("format")
			switch {
			case seconds < 1 || seconds > maxLoadSeconds:
				return fmt.Errorf("--seconds %d: use 1 to %d", seconds, maxLoadSeconds)
			case routers < 1:
				return fmt.Errorf("--routers %d: use 1 or more", routers)
			case format != "text" && format != "json":
				return fmt.Errorf("--format %q: use text or json", format)
			}
			options := measurer.Options{
				Seed: c.Uint64("seed"), RouterCount: routers, LoadDuration: time.Duration(seconds) * time.Second, Baseline: c.Bool("baseline"),
			}
			if c.Bool("log") {
				options.Logger = logger
			}
			return measurer.Run(ctx, c.Args().First(), options, out, format == "json")
		},
	}
}
