package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"papayapaddle/internal/claimer"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

// dumpTimeout bounds the whole request for a dump or for metrics.
const dumpTimeout = 10 * time.Second

func dumpCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "dump", Usage: "print the state of a router, or its metrics", OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "base `URL` of the router's operator listener", Required: true},
			&cli.StringFlag{Name: "token", Usage: "operator token", Required: true, Sources: cli.EnvVars("PAPAYAPADDLE_TOKEN")},
			&cli.BoolFlag{Name: "metrics", Usage: "print metrics instead of the state"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := "/dump"
			if c.Bool("metrics") {
				path = "/metrics"
			}
			ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(c.String("router"), "/")+path, nil)
			if err != nil {
				return err
			}
			req.Header.Set("Authorization", "Bearer "+c.String("token"))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("the router responded with status %s; check the operator token", resp.Status)
			}
			_, err = io.Copy(out, resp.Body)
			return err
		},
	}
}

func claimCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "claim", Usage: "look up the outcome of a call by its idempotency key", OnUsageError: usageError,
		Flags: []cli.Flag{
			platformFlag(),
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "workspace of the caller"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service that was called"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "idempotency key of the call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			key := claimer.Key{Workspace: c.String("workspace"), Service: c.String("service"), Key: c.String("key")}
			row, err := platformClient(c).Get(ctx, key.RowKey())
			if err != nil {
				return fmt.Errorf("%s: %w", key.RowKey(), err)
			}
			claim, err := claimer.Decode(row.Value)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(claim)
		},
	}
}

func emulateCommand(out io.Writer, logger log.Logger) *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "emulate the platform, model engines and plain services", OnUsageError: usageError,
		Description: "Prints declarations to pass to the apply command. A POST to /emulator/fault of an emulated server injects " +
			"faults; /emulator/ledger lists the executions of the services.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Value: 7000, Usage: "port of the platform and first of the consecutive ports in use"},
			&cli.IntFlag{Name: "engines", Value: 4, Usage: "number of model engines"},
			&cli.IntFlag{Name: "services", Value: 3, Usage: "number of booking servers"},
			&cli.StringFlag{Name: "zones", Value: "graz-a,graz-b,leoben-c", Usage: "availability zones"},
			&cli.StringSliceFlag{Name: "router", Usage: "router to list, as `NAME=ADDRESS@ZONE` with the address of its peer listener"},
			&cli.StringFlag{Name: "workspaces", Value: "solar-quotes,volunteers", Usage: "sample workspaces; the API key of each is key-NAME"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cluster, err := emulator.StartCluster(emulator.Config{
				Zones: strings.Split(c.String("zones"), ","), EngineCount: c.Int("engines"), EngineSlots: 4, ServiceCount: c.Int("services"),
				ServiceSlots: 8, EngineConfig: emulator.DefaultEngineConfig, ServiceTime: 20 * time.Millisecond, Seed: 1, FirstPort: c.Int("port"),
			})
			if err != nil {
				return err
			}
			defer cluster.Close()
			for _, entry := range c.StringSlice("router") {
				name, rest, hasAddress := strings.Cut(entry, "=")
				address, zone, hasZone := strings.Cut(rest, "@")
				if !hasAddress || !hasZone {
					return fmt.Errorf("--router %q: use NAME=ADDRESS@ZONE", entry)
				}
				cluster.AddRouter(name, address, zone)
			}
			declarations, err := demonstrator.DeclarationsYAML(cluster, strings.Split(c.String("workspaces"), ","))
			if err != nil {
				return err
			}
			if _, err := out.Write(declarations); err != nil {
				return err
			}
			_ = logger.Log("event", "emulating", "platform", cluster.PlatformURL)
			<-ctx.Done()
			return nil
		},
	}
}

func loadCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send open-loop model requests to routers and verify the responses", OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "router", Usage: "base `URL` of a router's caller listener", Required: true},
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "workspace name in the results"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "API key of the workspace"},
			&cli.StringFlag{Name: "path", Value: "/v1/completions", Usage: "request path, which selects the work kind"},
			&cli.StringFlag{Name: "model", Value: emulator.ModelName, Usage: "model to request"},
			&cli.Float64Flag{Name: "rate", Value: 5, Usage: "requests per second"},
			&cli.IntFlag{Name: "seconds", Value: 10, Usage: "duration of the load"},
			&cli.IntFlag{Name: "least", Value: 10, Usage: "minimum tokens per answer"},
			&cli.IntFlag{Name: "most", Value: 200, Usage: "maximum tokens per answer"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed for arrivals and answer lengths"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Float64("rate") <= 0 || c.Int("seconds") < 1 || c.Int("least") < 1 || c.Int("most") <= c.Int("least") {
				return fmt.Errorf("--rate must be above 0, --seconds at least 1, and 1 <= --least < --most")
			}
			duration := time.Duration(c.Int("seconds")) * time.Second
			run := loader.Start(ctx, loader.Workload{
				Seed: c.Uint64("seed"), Duration: duration, DrainTimeout: time.Minute,
				Flows: []loader.Flow{{
					Workspace: c.String("workspace"), APIKey: c.String("key"), Path: c.String("path"), Model: c.String("model"),
					RequestsPerSecond: c.Float64("rate"), RouterURLs: c.StringSlice("router"), AnswerTokens: loader.LogUniform(c.Int("least"), c.Int("most")),
				}},
			})
			run.Wait()
			stats := run.TotalStats()
			fmt.Fprintf(out, "started=%d complete=%d not-run=%d unknown=%d cut=%d wrong=%d tokens-per-second=%.1f\n",
				stats.Started, stats.Completed, stats.NotRun, stats.OutcomeUnknown, stats.Truncated, stats.Wrong, float64(stats.Tokens)/duration.Seconds())
			for _, quantile := range []float64{50, 95, 99} {
				fmt.Fprintf(out, "p%g first-token-ms=%.1f between-tokens-ms=%.2f\n", quantile,
					float64(stats.TimeToFirstToken.ValueAtQuantile(quantile))/1000, float64(stats.TokenInterval.ValueAtQuantile(quantile))/1000)
			}
			return nil
		},
	}
}
