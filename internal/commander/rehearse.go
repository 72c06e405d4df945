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
		Name: "rehearse", Usage: "play loads against the placing decisions in virtual time", ArgsUsage: "FILE...",
		Description:  "A load is a YAML file; see internal/rehearser/testdata. The same file always gives the same figures.",
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return fmt.Errorf("which load? papayapaddle rehearse FILE")
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
