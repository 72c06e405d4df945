package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"papayapaddle/internal/rehearser"
)

func rehearseCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "rehearse", Usage: "simulate workloads against the server selection in virtual time", ArgsUsage: "FILE...",
		Description:  "A workload is a YAML file; see internal/rehearser/testdata. The same file always gives the same metrics.",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return fmt.Errorf("rehearse requires at least one workload file; see papayapaddle rehearse --help")
			}
			for _, path := range c.Args().Slice() {
				data, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				workload, err := rehearser.Parse(data)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				fmt.Fprintln(out, "#", path)
				report := rehearser.Run(workload)
				report.Write(out)
			}
			return nil
		},
	}
}
