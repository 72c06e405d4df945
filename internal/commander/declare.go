package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"papayapaddle/internal/applier"
	"papayapaddle/internal/configurer"
	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/generator"
	"papayapaddle/internal/linker"
)

const (
	// applyTimeout bounds the whole apply command, including retries of the commit.
	applyTimeout = time.Minute
	// rolloutTimeout bounds the wait for routers to install a version.
	rolloutTimeout = 15 * time.Second
	// pollInterval is the delay between polls of the routers.
	pollInterval = 200 * time.Millisecond
)

// loadDeclarations loads the directory named by the command's only argument.
func loadDeclarations(c *cli.Command) (*declarer.Config, error) {
	if c.Args().Len() != 1 {
		return nil, fmt.Errorf("%s requires exactly one directory of declarations; see papayapaddle %s --help", c.Name, c.Name)
	}
	return declarer.Load(c.Args().First())
}

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a directory of declarations", ArgsUsage: "DIR", OnUsageError: usageError,
		Description: "Prints every problem on a line of its own, with file, line number and how to fix it.",
		Action: func(_ context.Context, c *cli.Command) error {
			config, err := loadDeclarations(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "ok: %d workspaces, %d pools, %d kinds of work, %d backend servers\n",
				config.WorkspaceCount(), len(config.Pools), len(config.WorkKinds), len(config.BackendServers))
			return nil
		},
	}
}

func generateCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "generate declarations from a completed questionnaire", ArgsUsage: "QUESTIONNAIRE",
		Description:  "Writes the declarations to standard output. Without an argument, prints a blank questionnaire with explanations.",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				_, err := io.WriteString(out, generator.BlankQuestionnaire)
				return err
			}
			questionnaire, err := os.ReadFile(c.Args().First())
			if err != nil {
				return err
			}
			declarations, err := generator.Generate(c.Args().First(), questionnaire)
			if err != nil {
				return err
			}
			_, err = out.Write(declarations)
			return err
		},
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's services", Required: true}
}

func platformClient(c *cli.Command) *connector.Client {
	return &connector.Client{BaseURL: c.String("platform"), HTTP: &http.Client{}}
}

func diffCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change", ArgsUsage: "DIR", OnUsageError: usageError,
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := loadDeclarations(c)
			if err != nil {
				return err
			}
			a := applier.Applier{Store: platformClient(c)}
			base, err := a.ReadLatest(ctx)
			if err != nil {
				return err
			}
			printDiff(out, base, target)
			return nil
		},
	}
}

func printDiff(out io.Writer, base applier.BaseConfig, target *declarer.Config) {
	rows := base.Config.Diff(target)
	fmt.Fprintf(out, "version %d, %d changes\n", base.Head.Version, len(rows))
	for _, row := range rows {
		if len(row.Body) == 0 {
			fmt.Fprintf(out, "- %s\n", row.Key())
			continue
		}
		fmt.Fprintf(out, "~ %s %s\n", row.Key(), row.Body)
	}
}

func applyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "apply a directory of declarations to the fleet", ArgsUsage: "DIR", OnUsageError: usageError,
		Description: "Commits the difference as one transaction and waits until every listed router has installed it. " +
			"Applying the same declarations again changes nothing. If another change was committed first, reports which.",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.Uint64Flag{Name: "seen", Usage: "fail unless this `VERSION` is still the newest"},
			&cli.StringFlag{Name: "certificate", Usage: "client certificate `FILE` for the routers' peer listeners"},
			&cli.StringFlag{Name: "key", Usage: "private key `FILE` of the certificate"},
			&cli.StringFlag{Name: "authority", Usage: "CA certificate `FILE` for verifying the routers' certificates"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := loadDeclarations(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, applyTimeout)
			defer cancel()
			tlsFiles := configurer.TLS{CertificateFile: c.String("certificate"), KeyFile: c.String("key"), CAFile: c.String("authority")}
			tlsConfig, err := tlsFiles.ClientConfig()
			if err != nil {
				return err
			}
			a := applier.Applier{Store: platformClient(c)}
			base, err := a.ReadLatest(ctx)
			if err != nil {
				return err
			}
			if seen := c.Uint64("seen"); c.IsSet("seen") && seen != base.Head.Version {
				return fmt.Errorf("the newest version is %d, not %d; review the output of papayapaddle diff and apply again", base.Head.Version, seen)
			}
			result, err := a.Apply(ctx, base, target)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "accepted: version %d, %d rows changed\n", result.Version, result.ChangedRows)
			return waitForRollout(ctx, out, linker.WithTLS(new(net.Dialer).DialContext, tlsConfig), a.Store, result.Version)
		},
	}
}

// waitForRollout waits until every listed router has installed the version. On a timeout it lists
// the routers that have not.
func waitForRollout(ctx context.Context, out io.Writer, dial linker.DialFunc, client *connector.Client, version uint64) error {
	start := time.Now()
	list, err := client.ListInstances(ctx, 0)
	if err != nil {
		return err
	}
	missing := map[string]string{}
	for _, instance := range list.Instances {
		if instance.Role == connector.RoleRouter {
			missing[instance.Name] = instance.Address
		}
	}
	total := len(missing)
	for {
		for name, address := range missing {
			if installed, err := applier.HintConfigVersion(ctx, dial, address, version); err == nil && installed >= version {
				delete(missing, name)
			}
		}
		if len(missing) == 0 {
			fmt.Fprintf(out, "in force: %d of %d routers after %.1f s\n", total, total, time.Since(start).Seconds())
			return nil
		}
		if time.Since(start) > rolloutTimeout || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval)
	}
	for name, address := range missing {
		fmt.Fprintf(out, "missing: %s at %s, not seen with version %d for %.1f s\n", name, address, version, time.Since(start).Seconds())
	}
	return fmt.Errorf("accepted, but %d of %d routers have not installed version %d yet", len(missing), total, version)
}
