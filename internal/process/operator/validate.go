package operator

import (
	"fmt"
	"io"
	"os"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/integrii/flaggy"
)

// validateCmd checks local files as one document, which includes the sections of
// the other teams if servers are set.
type validateCmd struct {
	file  string
	files []string
	local bool
}

func (c *validateCmd) define() *flaggy.Subcommand {
	s := newSubcommand("validate", "Checks sections, alone or together with the document on the servers.",
		"fescuectl validate --file platform.yaml --file kerala.yaml --local")
	s.AddPositionalValue(&c.file, "file", 1, false, "File with a section.")
	s.StringSlice(&c.files, "", "file", "File with a section; repeat it for more.")
	s.Bool(&c.local, "", "local", "Check the files without the servers.")
	return s
}

func (c *validateCmd) run(e *env) error {
	files := c.files
	if c.file != "" {
		files = append(files, c.file)
	}
	if len(files) == 0 {
		return exitErrorf(ExitUsage, "give at least one file")
	}
	sources, err := readSections(files)
	if err != nil {
		return err
	}
	if c.local || len(e.Servers) == 0 {
		if err := validateDocument(sources); err != nil {
			return err
		}
	} else if err := c.validateWithServer(e, sources); err != nil {
		return err
	}
	e.print(map[string]any{"valid": true, "files": files}, func(w io.Writer) { fmt.Fprintln(w, "valid") })
	return nil
}

// validateWithServer replaces the sections of the same teams in the server's
// document by the local ones and validates the result here. A single section is
// then also validated by the server, which accepts one section per call.
func (c *validateCmd) validateWithServer(e *env, local []*localSection) error {
	cl, err := e.connect()
	if err != nil {
		return err
	}
	reply, err := cl.sections("")
	if err != nil {
		return err
	}
	all, err := mergeSections(reply.Sections, local)
	if err != nil {
		return err
	}
	if err := validateDocument(all); err != nil || len(local) > 1 {
		return err // the server could not check several sections together
	}
	return validateOnServer(cl, local[0])
}

// validateOnServer asks the server to validate one section against its document.
func validateOnServer(cl *client, s *localSection) error {
	reply, err := callWithFailover(cl, fescuepb.OperatorClient.Validate, &fescuepb.ValidateRequest{Team: s.team(), Yaml: s.data})
	if err != nil {
		return err
	}
	if len(reply.Problems) > 0 {
		return invalidDocumentError(serverProblems(s.file, reply.Problems))
	}
	return nil
}

// localSection is a parsed section with its text. The file is "server:" and the
// team for a section that came from the server.
type localSection struct {
	file   string
	data   []byte
	source *document.Source
}

func (s *localSection) team() string { return s.source.Section.Team }

// readSections reads the files and returns an error that lists the problems
// of all of them.
func readSections(files []string) ([]*localSection, error) {
	var out []*localSection
	var problems []string
	for _, f := range files {
		s, found, err := readSection(f)
		if err != nil {
			return nil, err
		}
		problems = append(problems, found...)
		out = append(out, s)
	}
	if len(problems) > 0 {
		return nil, invalidDocumentError(problems)
	}
	return out, nil
}

func readSection(file string) (*localSection, []string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, exitErrorf(ExitUsage, "read section: %w", err)
	}
	s, problems := parseSection(file, data)
	return s, problems, nil
}

func parseSection(file string, data []byte) (*localSection, []string) {
	src, found := document.Parse(file, data)
	var problems []string
	for _, p := range found {
		problems = append(problems, p.String())
	}
	return &localSection{file: file, data: data, source: src}, problems
}

// mergeSections returns the local sections and the remote sections of all other
// teams.
func mergeSections(remote []*fescuepb.Section, local []*localSection) ([]*localSection, error) {
	out := append([]*localSection(nil), local...)
	localTeams := map[string]bool{}
	for _, s := range local {
		localTeams[s.team()] = true
	}
	for _, r := range remote {
		if localTeams[r.Team] {
			continue
		}
		s, problems := parseSection("server:"+r.Team, r.Yaml)
		if len(problems) > 0 {
			return nil, invalidDocumentError(problems)
		}
		out = append(out, s)
	}
	return out, nil
}

// validateDocument validates the sections as one document.
func validateDocument(sections []*localSection) error {
	var sources []*document.Source
	for _, s := range sections {
		sources = append(sources, s.source)
	}
	var problems []string
	for _, p := range document.Validate(sources) {
		problems = append(problems, p.String())
	}
	if len(problems) > 0 {
		return invalidDocumentError(problems)
	}
	return nil
}

// serverProblems formats problems that a server found. The server does not know
// the name of the local file, so file is filled in where it is missing.
func serverProblems(file string, problems []*fescuepb.FieldProblem) []string {
	var out []string
	for _, p := range problems {
		f := document.Problem{File: p.File, Line: int(p.Line), Field: p.Field, Message: p.Message}
		if f.File == "" {
			f.File = file
		}
		out = append(out, f.String())
	}
	return out
}
