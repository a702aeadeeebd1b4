package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
	"github.com/mattn/go-isatty"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Exit codes of the command line. Scripts rely on them; they do not change.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnavailable = 5
)

// Streams are the input and output streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// Terminal is true if In is a terminal, so that the user can be prompted.
	Terminal bool
}

// StandardStreams returns the streams of the process.
func StandardStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isatty.IsTerminal(os.Stdin.Fd())}
}

// command is one invocation of the command line.
type command struct {
	Streams
	args   Args
	client *Client
}

// Run parses argv, runs the selected command and returns its exit code.
func Run(ctx context.Context, argv []string, s Streams) int {
	c := &command{Streams: s}
	p, err := arg.NewParser(arg.Config{Program: "verbenakeel", Out: s.Out}, &c.args)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return ExitFailed
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(s.Out, p.SubcommandNames()...)
		return ExitOK
	case err != nil:
		return c.reportError(errdefs.New(errdefs.Invalid, err.Error(), "run `verbenakeel "+strings.Join(append(p.SubcommandNames(), "--help"), " ")+"`"))
	case p.Subcommand() == nil:
		_ = p.WriteHelpForSubcommand(s.Err)
		return ExitInvalid
	}
	run := c.handler()
	if run == nil {
		_ = p.WriteHelpForSubcommand(s.Err, p.SubcommandNames()...)
		return ExitInvalid
	}
	if c.args.Settings == nil {
		if err := c.initClient(); err != nil {
			return c.reportError(err)
		}
	}
	return c.reportError(run(ctx))
}

// initClient creates the client from the arguments and the environment. It sends nothing.
func (c *command) initClient() error {
	entries := c.args.Entry
	if len(entries) == 0 {
		entries = []string{os.Getenv("VERBENAKEEL_ENTRIES")}
	}
	transport, scheme := &http.Transport{MaxIdleConnsPerHost: 2}, "http"
	if files := (tlsconf.Files{Cert: c.args.Cert, Key: c.args.Key, CA: c.args.CA}); files.On() {
		keys, err := tlsconf.Load(files, nil)
		if err != nil {
			return fmt.Errorf("read --cert, --key and --ca: %w", err)
		}
		transport.TLSClientConfig, scheme = keys.Client(tlsconf.Entry), "https"
	}
	c.client = &Client{Entries: baseURLs(entries, scheme), Token: c.args.Token, Operator: c.operatorName(), HTTP: &http.Client{Transport: transport}}
	if len(c.client.Entries) == 0 {
		return errdefs.New(errdefs.Invalid, "no entry address is given", "pass --entry IP:PORT or set VERBENAKEEL_ENTRIES")
	}
	return nil
}

func (c *command) operatorName() string {
	if c.args.Operator != "" {
		return c.args.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unnamed"
}

// reportError prints err, if any, and returns the exit code for it.
func (c *command) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if !c.args.JSON {
		fmt.Fprintln(c.Err, "verbenakeel:", err)
		return code
	}
	out := map[string]any{"kind": "failed", "message": err.Error(), "exit_code": code}
	var te *errdefs.Error
	if errors.As(err, &te) {
		out["kind"], out["message"], out["remedy"], out["field"] = te.Kind, te.Message, te.Remedy, te.Field
	}
	_ = json.NewEncoder(c.Err).Encode(map[string]any{"error": out})
	return code
}

func exitCode(err error) int {
	switch errdefs.KindOf(err) {
	case errdefs.Invalid:
		return ExitInvalid
	case errdefs.Conflict:
		return ExitConflict
	case errdefs.Unknown:
		return ExitUnknown
	case errdefs.Unavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

// handler returns the function that runs the selected command, or nil if the subcommand is incomplete.
func (c *command) handler() func(context.Context) error {
	a := &c.args
	switch {
	case a.Contract != nil:
		return c.contractHandler()
	case a.Zone != nil:
		return c.zoneHandler()
	case a.Endpoint != nil:
		return c.endpointHandler()
	case a.Job != nil:
		return c.jobHandler()
	case a.Explain != nil:
		return c.explain
	case a.Audit != nil:
		return c.audit
	case a.Change != nil:
		return c.change
	case a.Wait != nil:
		return c.wait
	case a.Worker != nil && a.Worker.List != nil:
		return c.listWorkers
	case a.Status != nil:
		return c.status
	case a.Settings != nil && a.Settings.Check != nil:
		return c.checkSettings
	}
	return nil
}

// print writes v as JSON if --json is set, and the output of table otherwise.
func (c *command) print(v any, table func(w io.Writer)) error {
	if c.args.JSON {
		return json.NewEncoder(c.Out).Encode(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// writeRow writes one row of a tab-separated table.
func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// confirm prints the effects of an action and asks for confirmation. It returns an error if the input is not a terminal or
// the reply is not affirmative. With --yes it returns nil without printing.
func (c *command) confirm(action string, affects []string) error {
	if c.args.Yes {
		return nil
	}
	fmt.Fprintf(c.Err, "%s affects:\n", action)
	for _, a := range affects {
		fmt.Fprintln(c.Err, "  "+a)
	}
	if !c.Terminal {
		return errdefs.New(errdefs.Refused, action+" affects running work; confirmation needs a terminal", "check the list above and pass --yes")
	}
	fmt.Fprint(c.Err, "Continue? [y/N] ")
	line, err := bufio.NewReader(c.In).ReadString('\n')
	if err != nil && line == "" {
		return errdefs.New(errdefs.Refused, "no answer was given", "answer y, or pass --yes")
	}
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return nil
	}
	return errdefs.New(errdefs.Refused, "nothing was changed", "run the command again and answer y")
}
