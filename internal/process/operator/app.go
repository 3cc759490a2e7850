// Package operator implements fescuectl, the operators' command line tool. The
// commands share the settings, the client with fail-over and the output formats.
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/integrii/flaggy"
)

// App runs fescuectl with the given version and output streams.
type App struct {
	Version string
	Stdout  io.Writer
	Stderr  io.Writer
}

// command is a subcommand of fescuectl.
type command interface {
	// define returns the parser of the subcommand with its flags.
	define() *flaggy.Subcommand
	// run executes the command after the arguments have been parsed.
	run(e *env) error
}

// env holds the settings, the output streams and the client of a running
// command.
type env struct {
	Config
	flags  globalFlags
	stdout io.Writer
	stderr io.Writer // progress messages and hints
	client *client   // nil until connect is called
}

const helpExamples = `
Examples:
  fescuectl validate --file platform.yaml --file kerala.yaml
  fescuectl --config ctl.yaml diff kerala.yaml
  fescuectl --config ctl.yaml apply kerala.yaml --wait
  fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --wait
  fescuectl --config ctl.yaml explain --service rota --path /rota/7 --shift coast --data-centre kochi-1
  fescuectl trace --id 24f3db7b859bc0c3 --file front-a.log --file front-b.log
  fescuectl certs --dir pki --instance c1 --host 10.0.0.1
  fescuectl keygen --team kerala --out kerala.key

Settings file (--config), arguments take precedence:
  servers: [10.0.0.1:7300, 10.0.1.1:7300]
  team: kerala
  key_file: kerala.key
  tls: {cert_file: op.crt, key_file: op.key, ca_file: ca.crt}
  timeout: 10s

Exit codes: 0 ok, 1 usage, 2 document invalid, 3 conflict with another change,
4 accepted but not in force in time, 5 no server answered, 6 refused.`

// Run parses the arguments, runs the command and returns the exit code.
func (a *App) Run(args []string) int {
	e := &env{stdout: a.Stdout, stderr: a.Stderr, flags: globalFlags{output: "text"}}
	p := newParser(a.Version, &e.flags)
	commands := []command{
		&validateCmd{}, &diffCmd{}, &applyCmd{}, &getCmd{}, &historyCmd{}, &statusCmd{},
		&drainCmd{}, &blocksCmd{}, &releaseCmd{}, &explainCmd{}, &traceCmd{}, &certsCmd{}, &keygenCmd{},
	}
	subs := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subs[i] = c.define()
		p.AttachSubcommand(subs[i], 1)
	}
	if code, done := parse(p, args); done {
		return code
	}
	for i, c := range commands {
		if subs[i].Used {
			return a.finish(e, e.execute(c))
		}
	}
	p.ShowHelpWithMessage("A command is required.")
	return ExitUsage
}

func (e *env) execute(cmd command) error {
	cfg, err := e.flags.resolve()
	if err != nil {
		return err
	}
	e.Config = cfg
	defer func() {
		if e.client != nil {
			e.client.close()
		}
	}()
	return cmd.run(e)
}

func newParser(version string, flags *globalFlags) *flaggy.Parser {
	p := flaggy.NewParser("fescuectl")
	p.Description = "Validates, compares and applies sections of the steering document."
	p.Version = version
	p.ShowCompletion = false
	p.AdditionalHelpAppend = helpExamples
	p.String(&flags.config, "", "config", "Settings file (YAML).")
	p.StringSlice(&flags.servers, "", "server", "Control instance, host:port; repeat it for fail-over.")
	p.String(&flags.team, "", "team", "Team whose section the command works on.")
	p.String(&flags.keyFile, "", "key-file", "File with the operator key.")
	p.String(&flags.tls.CertFile, "", "tls-cert", "Operator certificate.")
	p.String(&flags.tls.KeyFile, "", "tls-key", "Private key of the certificate.")
	p.String(&flags.tls.CAFile, "", "tls-ca", "Certificate authority of the instances.")
	p.Bool(&flags.tls.PlaintextLoopback, "", "plaintext-loopback", "Use no TLS; loopback addresses only.")
	p.Duration(&flags.timeout, "", "timeout", "Time limit of the calls to the servers; 10s by default.")
	p.String(&flags.output, "", "output", "text or json.")
	return p
}

// parse parses the arguments. If done is true, the program must exit with code:
// the help or the version was printed, or the arguments are wrong.
func parse(p *flaggy.Parser, args []string) (code int, done bool) {
	// On a usage error the parser exits with code 2, which fescuectl uses for an
	// invalid document. A panic in place of the exit allows another code.
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if r := recover(); r != nil {
			code, done = ExitUsage, true
			if strings.HasSuffix(fmt.Sprint(r), ": 0") {
				code = ExitOK
			}
		}
	}()
	if err := p.ParseArgs(args); err != nil {
		p.ShowHelpWithMessage(err.Error())
		return ExitUsage, true
	}
	return ExitOK, false
}

// finish prints the error of a command, if any, and returns the exit code.
func (a *App) finish(e *env, err error) int {
	code := exitCode(err)
	if err == nil || errors.Is(err, errReported) {
		return code
	}
	if e.flags.output == "json" {
		e.print(map[string]any{"error": err.Error(), "exit_code": code}, nil)
		return code
	}
	fmt.Fprintln(a.Stderr, "fescuectl:", err)
	return code
}

// print writes v as JSON if --output is json, and otherwise calls text.
func (e *env) print(v any, text func(w io.Writer)) {
	if e.flags.output == "json" {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			fmt.Fprintln(e.stderr, "fescuectl: write output:", err)
		}
		return
	}
	text(e.stdout)
}

// connect returns the client and creates it on the first call.
func (e *env) connect() (*client, error) {
	if e.client != nil {
		return e.client, nil
	}
	c, err := newClient(e.Config, logging.New(e.stderr, "error", "fescuectl", ""))
	if err != nil {
		return nil, err
	}
	e.client = c
	return c, nil
}

func (e *env) requireTeam() error {
	if e.Team == "" {
		return exitErrorf(ExitUsage, "set the team with --team or team in the settings")
	}
	return nil
}

// newSubcommand returns a subcommand with a description and an example.
func newSubcommand(name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "\nExample:\n  " + example
	return s
}
