package commander

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

func explainCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "validate platform settings or a configuration, and show how a request would be handled",
		Description: "Works offline. With --headers, reads the head of an HTTP request in wire format, for example from a " +
			"packet capture, and prints its route, workspace and services.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a router (JSON)"},
			&cli.StringFlag{Name: "config", Usage: "configuration `FILE` of the fleet (JSON)"},
			&cli.StringFlag{Name: "headers", Usage: "`FILE` with a request line and headers"},
		},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.String("settings") == "" && c.String("config") == "" {
				return fmt.Errorf("nothing to look at: give --settings or --config")
			}
			if path := c.String("settings"); path != "" {
				settings, err := platform.LoadSettings(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "settings of %s in %s: sound; peers at %s, metrics and state at %s\n",
					settings.Name, settings.AvailabilityZone, settings.PeerAddress(), settings.OperatorAddress())
			}
			if c.String("config") == "" {
				return nil
			}
			return explainConfig(out, c.String("config"), c.String("headers"))
		},
	}
}

func explainConfig(out io.Writer, path, headers string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	catalog, err := platform.DecodeConfig(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "configuration version %d: sound; %d routes, %d services, %d workspaces\n",
		catalog.Version, len(catalog.Routes), len(catalog.Services), len(catalog.Workspaces))
	if headers == "" {
		return nil
	}
	req, err := readRequestHead(headers)
	if err != nil {
		return fmt.Errorf("%s: %w", headers, err)
	}
	return explainRequest(out, catalog, req)
}

// readRequestHead reads the request line and headers from a file. Any body is ignored.
func readRequestHead(path string) (*http.Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// Add the blank line that ends the headers, which the file may lack.
	reader := textproto.NewReader(bufio.NewReader(io.MultiReader(f, strings.NewReader("\r\n\r\n"))))
	line, err := reader.ReadLine()
	if err != nil {
		return nil, err
	}
	var method, target, proto string
	if n, _ := fmt.Sscan(line, &method, &target, &proto); n != 3 {
		return nil, fmt.Errorf("%q is not an HTTP request line", line)
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	return &http.Request{Method: method, URL: u, Host: header.Get("Host"), Header: http.Header(header)}, nil
}

func explainRequest(out io.Writer, catalog *cataloger.Catalog, req *http.Request) error {
	info, err := platform.Codec{}.DecodeRequest(req.Header)
	if err != nil {
		return err
	}
	route := catalog.MatchRoute(req.Host, req.URL.EscapedPath())
	if route == nil {
		fmt.Fprintf(out, "no route for host %q and path %q: 404\n", req.Host, req.URL.Path)
		return nil
	}
	fmt.Fprintf(out, "route %s (%s%s): %s, objective %v, timeout %v, at most %d servers, resumable %v\n",
		route.Name, route.Host, route.Prefix, route.Kind, route.LatencyObjective, route.Timeout, route.MaxAttempts, route.Resumable)
	for _, target := range route.Targets {
		fmt.Fprintf(out, "service %s, weight %v, model servers %v\n", target.Service, target.Weight, catalog.Services[target.Service].Engine != nil)
	}
	switch workspace := catalog.WorkspaceByKey(info.APIKey); {
	case route.Public || !catalog.KeysRequired:
		fmt.Fprintln(out, "no key needed")
	case workspace == nil:
		fmt.Fprintln(out, "the key belongs to no workspace: 401")
	default:
		fmt.Fprintf(out, "workspace %s\n", workspace.Name)
	}
	fmt.Fprintf(out, "prompt of %d tokens in %d parts, answer of at most %d\n", info.PromptTokens, len(info.Parts), info.MaxAnswerTokens)
	return nil
}
