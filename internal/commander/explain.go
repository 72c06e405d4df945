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
		Name: "explain", Usage: "check the platform's settings or configuration, and tell how a request would be treated",
		Description: "Works offline. With --headers, the file holds a request's head as it is on the wire, for example " +
			"from a capture; the answer names its route, workspace and services.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "a process's settings `FILE` (JSON)"},
			&cli.StringFlag{Name: "config", Usage: "the operators' configuration `FILE` (JSON)"},
			&cli.StringFlag{Name: "headers", Usage: "a request's first line and headers in a `FILE`"},
		},
		OnUsageError: usageError,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.String("settings") == "" && c.String("config") == "" {
				return fmt.Errorf("nothing to look at: give --settings or --config")
			}
			if path := c.String("settings"); path != "" {
				s, err := platform.LoadSettings(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "settings of %s in %s: sound; peers at %s, metrics and state at %s\n",
					s.Name, s.AvailabilityZone, s.PeerAddress(), s.OperatorAddress())
			}
			if c.String("config") == "" {
				return nil
			}
			return explainConfig(out, c.String("config"), c.String("headers"))
		},
	}
}

func explainConfig(out io.Writer, path, headers string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	cat, err := platform.DecodeConfig(b)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "configuration version %d: sound; %d routes, %d services, %d workspaces\n",
		cat.Version, len(cat.Routes), len(cat.Services), len(cat.Workspaces))
	if headers == "" {
		return nil
	}
	req, err := readHead(headers)
	if err != nil {
		return fmt.Errorf("%s: %w", headers, err)
	}
	return explainRequest(out, cat, req)
}

// readHead reads a request's first line and headers; a body may be missing.
func readHead(path string) (*http.Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// A file may lack the empty line at the end.
	r := textproto.NewReader(bufio.NewReader(io.MultiReader(f, strings.NewReader("\r\n\r\n"))))
	line, err := r.ReadLine()
	if err != nil {
		return nil, err
	}
	var method, target, proto string
	if n, _ := fmt.Sscan(line, &method, &target, &proto); n != 3 {
		return nil, fmt.Errorf("%q is no first line of a request", line)
	}
	h, err := r.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	return &http.Request{Method: method, URL: u, Host: h.Get("Host"), Header: http.Header(h)}, nil
}

func explainRequest(out io.Writer, cat *cataloger.Catalog, req *http.Request) error {
	e, err := platform.Codec{}.DecodeRequest(req.Header)
	if err != nil {
		return err
	}
	rt := cat.MatchRoute(req.Host, req.URL.EscapedPath())
	if rt == nil {
		fmt.Fprintf(out, "no route for host %q and path %q: 404\n", req.Host, req.URL.Path)
		return nil
	}
	fmt.Fprintf(out, "route %s (%s%s): %s, objective %v, timeout %v, at most %d servers, resumable %v\n",
		rt.Name, rt.Host, rt.Prefix, rt.Kind, rt.LatencyObjective, rt.Timeout, rt.MaxAttempts, rt.Resumable)
	for _, t := range rt.Targets {
		fmt.Fprintf(out, "service %s, weight %v, model servers %v\n", t.Service, t.Weight, cat.Services[t.Service].Engine != nil)
	}
	switch w := cat.WorkspaceByKey(e.Key); {
	case rt.Public || !cat.KeysRequired:
		fmt.Fprintln(out, "no key needed")
	case w == nil:
		fmt.Fprintln(out, "the key belongs to no workspace: 401")
	default:
		fmt.Fprintf(out, "workspace %s\n", w.Name)
	}
	fmt.Fprintf(out, "prompt of %d tokens in %d parts, answer of at most %d\n", e.PromptTokens, len(e.Parts), e.MaxAnswerTokens)
	return nil
}
