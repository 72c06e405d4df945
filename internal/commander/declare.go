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
	// applyTimeout bounds the tries to learn what became of a commit.
	applyTimeout = time.Minute
	// inForceTimeout bounds the wait for routers to install a version.
	inForceTimeout = 15 * time.Second
	// pollEvery is the wait between two looks at the routers.
	pollEvery = 200 * time.Millisecond
)

func directory(c *cli.Command) (*declarer.Config, error) {
	if c.Args().Len() != 1 {
		return nil, fmt.Errorf("%s takes one directory of declarations; see papayapaddle %s --help", c.Name, c.Name)
	}
	return declarer.Load(c.Args().First())
}

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a directory of declarations", ArgsUsage: "DIR", OnUsageError: usageError,
		Description: "Prints all that is wrong, a line each with file, line and what to do.",
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := directory(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "ok: %d workspaces, %d pools, %d kinds of work, %d backend servers\n",
				cfg.WorkspaceCount(), len(cfg.Pools), len(cfg.Kinds), len(cfg.Servers))
			return nil
		},
	}
}

func generateCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "turn a filled-in questionnaire into declarations", ArgsUsage: "QUESTIONNAIRE",
		Description:  "Without a questionnaire it prints a blank one with explanations. The declarations go to standard output.",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				_, err := io.WriteString(out, generator.BlankQuestionnaire)
				return err
			}
			b, err := os.ReadFile(c.Args().First())
			if err != nil {
				return err
			}
			y, err := generator.Generate(c.Args().First(), b)
			if err != nil {
				return err
			}
			_, err = out.Write(y)
			return err
		},
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's services", Required: true}
}

func store(c *cli.Command) *connector.Client {
	return &connector.Client{BaseURL: c.String("platform"), HTTP: &http.Client{}}
}

func diffCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change", ArgsUsage: "DIR", OnUsageError: usageError,
		Flags: []cli.Flag{platformFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := directory(c)
			if err != nil {
				return err
			}
			a := applier.Applier{Store: store(c)}
			base, err := a.Read(ctx)
			if err != nil {
				return err
			}
			printDiff(out, base, target)
			return nil
		},
	}
}

func printDiff(out io.Writer, base applier.Base, target *declarer.Config) {
	rows := base.Config.Diff(target)
	fmt.Fprintf(out, "version %d, %d changes\n", base.Head.Version, len(rows))
	for _, r := range rows {
		if len(r.Body) == 0 {
			fmt.Fprintf(out, "- %s\n", r.Key())
			continue
		}
		fmt.Fprintf(out, "~ %s %s\n", r.Key(), r.Body)
	}
}

func applyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put a directory of declarations in force", ArgsUsage: "DIR", OnUsageError: usageError,
		Description: "Commits the difference as one transaction and waits until it is in force at every listed router. " +
			"Applying the same again changes nothing. If another change came first, it tells which.",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.Uint64Flag{Name: "seen", Usage: "refuse unless this `VERSION` is still the newest"},
			&cli.StringFlag{Name: "certificate", Usage: "certificate `FILE` towards the routers' peer listeners"},
			&cli.StringFlag{Name: "key", Usage: "key `FILE` of the certificate"},
			&cli.StringFlag{Name: "authority", Usage: "`FILE` with the authority that signed the routers' certificates"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			target, err := directory(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, applyTimeout)
			defer cancel()
			keys := configurer.TLS{CertificateFile: c.String("certificate"), KeyFile: c.String("key"), CAFile: c.String("authority")}
			tc, err := keys.ClientConfig()
			if err != nil {
				return err
			}
			a := applier.Applier{Store: store(c)}
			base, err := a.Read(ctx)
			if err != nil {
				return err
			}
			if seen := c.Uint64("seen"); c.IsSet("seen") && seen != base.Head.Version {
				return fmt.Errorf("version %d is the newest, not %d; look at papayapaddle diff and apply again", base.Head.Version, seen)
			}
			res, err := a.Apply(ctx, base, target)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "accepted: version %d, %d rows changed\n", res.Version, res.Changed)
			return awaitInForce(ctx, out, linker.WithTLS(new(net.Dialer).DialContext, tc), a.Store, res.Version)
		},
	}
}

// awaitInForce waits until every listed router has the version, and tells which
// have not.
func awaitInForce(ctx context.Context, out io.Writer, dial linker.DialFunc, s *connector.Client, version uint64) error {
	began := time.Now()
	l, err := s.ListInstances(ctx, 0)
	if err != nil {
		return err
	}
	missing := map[string]string{}
	for _, in := range l.Instances {
		if in.Role == connector.RoleRouter {
			missing[in.Name] = in.Address
		}
	}
	total := len(missing)
	for {
		for name, address := range missing {
			if v, err := applier.Hint(ctx, dial, address, version); err == nil && v >= version {
				delete(missing, name)
			}
		}
		if len(missing) == 0 {
			fmt.Fprintf(out, "in force: %d of %d routers after %.1f s\n", total, total, time.Since(began).Seconds())
			return nil
		}
		if time.Since(began) > inForceTimeout || ctx.Err() != nil {
			break
		}
		time.Sleep(pollEvery)
	}
	for name, address := range missing {
		fmt.Fprintf(out, "missing: %s at %s, not seen with version %d for %.1f s\n", name, address, version, time.Since(began).Seconds())
	}
	return fmt.Errorf("accepted, but %d of %d routers do not have version %d yet", len(missing), total, version)
}
