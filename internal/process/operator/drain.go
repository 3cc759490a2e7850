package operator

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/integrii/flaggy"
	"go.yaml.in/yaml/v3"
)

const yamlIndent = 2

// drainCmd adds a drain to the team's section or removes one, and applies the
// changed section.
type drainCmd struct {
	applyOptions
	document.Drain
	remove bool
	dryRun bool
}

func (c *drainCmd) define() *flaggy.Subcommand {
	s := newSubcommand("drain", "Drains a data centre, a service, a target or an entry instance, or removes such a drain.",
		"fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --wait\n"+
			"  fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --target rota-7 --wait\n"+
			"  fescuectl --config platform.yaml drain --instance kochi-1a --wait\n"+
			"  fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --remove --wait")
	s.String(&c.DataCentre, "", "data-centre", "Data centre to drain; all data centres if absent.")
	s.String(&c.Service, "", "service", "Service to drain.")
	s.String(&c.Target, "", "target", "Target to drain.")
	s.String(&c.Instance, "", "instance", "Entry instance to drain (team platform only).")
	s.Bool(&c.remove, "", "remove", "Remove the drain.")
	s.Bool(&c.dryRun, "", "dry-run", "Print the changed section without applying it.")
	c.applyOptions.define(s)
	return s
}

func (c *drainCmd) run(e *env) error {
	if err := e.requireTeam(); err != nil {
		return err
	}
	if c.Drain == (document.Drain{}) {
		return exitErrorf(ExitUsage, "set at least one of --data-centre, --service, --target, --instance")
	}
	if c.Target != "" && c.Service == "" {
		return exitErrorf(ExitUsage, "--target needs --service, the service of the target")
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	current, err := cl.section(e.Team)
	if err != nil {
		return err
	}
	if current.Revision == 0 || current.Deleted {
		return exitErrorf(ExitInvalid, "team %q has no section", e.Team)
	}
	if sent, err := c.findSentChange(cl, e.Team); err != nil || sent != nil {
		if err != nil {
			return err
		}
		c.expectedRevision = strconv.FormatUint(sent.Revision-1, 10)
		return c.applyOptions.apply(e, &fescuepb.ApplyRequest{Team: e.Team, Yaml: sent.Yaml}, current)
	}
	text, err := editDrains(current.Yaml, c.Drain, c.remove)
	if err != nil {
		return err
	}
	if c.dryRun {
		fmt.Fprintf(e.stdout, "%s", text)
		return nil
	}
	return c.applyOptions.apply(e, &fescuepb.ApplyRequest{Team: e.Team, Yaml: text}, current)
}

// findSentChange returns the revision that the change with the identifier of
// --change-id created, or nil if there is none. Such a change was accepted but
// its reply was lost; sending it again returns the first outcome.
func (c *drainCmd) findSentChange(cl *client, team string) (*fescuepb.Section, error) {
	if c.changeID == "" {
		return nil, nil
	}
	reply, err := callWithFailover(cl, fescuepb.OperatorClient.History, &fescuepb.HistoryRequest{Team: team})
	if err != nil {
		return nil, err
	}
	for _, s := range reply.Revisions {
		if s.ChangeId == c.changeID {
			return s, nil
		}
	}
	return nil, nil
}

// editDrains adds the drain to the text of a section or removes it from there.
// It preserves comments and the order of the other fields.
func editDrains(text []byte, d document.Drain, remove bool) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil || len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, exitErrorf(ExitInvalid, "the section on the server is not a YAML mapping")
	}
	list := drainsNode(root.Content[0], remove)
	index, err := findDrain(list, d)
	if err != nil {
		return nil, err
	}
	switch {
	case remove && index < 0:
		return nil, exitErrorf(ExitInvalid, "the section has no such drain")
	case remove:
		list.Content = append(list.Content[:index], list.Content[index+1:]...)
	case index >= 0:
		return nil, exitErrorf(ExitInvalid, "the section has this drain already")
	default:
		n := new(yaml.Node)
		if err := n.Encode(d); err != nil {
			return nil, exitErrorf(ExitInvalid, "encode drain: %w", err)
		}
		list.Content = append(list.Content, n)
	}
	return encodeYAML(&root)
}

func encodeYAML(root *yaml.Node) ([]byte, error) {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(yamlIndent)
	if err := enc.Encode(root); err != nil {
		return nil, exitErrorf(ExitInvalid, "encode section: %w", err)
	}
	return buf.Bytes(), nil
}

// drainsNode returns the node of the section's "drains" sequence. If the section
// has none, it returns an empty sequence, which it adds to the section unless
// remove is set.
func drainsNode(section *yaml.Node, remove bool) *yaml.Node {
	for i := 0; i+1 < len(section.Content); i += 2 {
		if section.Content[i].Value != "drains" {
			continue
		}
		list := section.Content[i+1]
		if list.Kind != yaml.SequenceNode {
			*list = yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
		}
		list.Style &^= yaml.FlowStyle // an empty list may be written as []; items are written one per line
		return list
	}
	list := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
	if !remove {
		section.Content = append(section.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: "drains"}, list)
	}
	return list
}

// findDrain returns the index of the drain equal to d, or -1.
func findDrain(list *yaml.Node, d document.Drain) (int, error) {
	for i, n := range list.Content {
		var existing document.Drain
		if err := n.Decode(&existing); err != nil {
			return 0, exitErrorf(ExitInvalid, "drain %d of the section: %w", i, err)
		}
		if existing == d {
			return i, nil
		}
	}
	return -1, nil
}
