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

// drainCmd adds a drain to the team's section or removes it, and applies the
// section.
type drainCmd struct {
	applyOptions
	document.Drain
	remove bool
	show   bool
}

func (c *drainCmd) define() *flaggy.Subcommand {
	s := sub("drain", "Takes a place, a target or an entry instance out of service, or puts it back.",
		"fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --wait\n"+
			"  fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --target rota-7 --wait\n"+
			"  fescuectl --config platform.yaml drain --instance kochi-1a --wait\n"+
			"  fescuectl --config ctl.yaml drain --service rota --data-centre kochi-1 --remove --wait")
	s.String(&c.DataCentre, "", "data-centre", "Data centre to drain; all if absent.")
	s.String(&c.Service, "", "service", "Service to drain.")
	s.String(&c.Target, "", "target", "Target to drain.")
	s.String(&c.Instance, "", "instance", "Entry instance to drain (team platform only).")
	s.Bool(&c.remove, "", "remove", "Remove the drain.")
	s.Bool(&c.show, "", "dry-run", "Print the changed section and apply nothing.")
	c.applyOptions.define(s)
	return s
}

func (c *drainCmd) run(e *env) error {
	if err := e.needTeam(); err != nil {
		return err
	}
	if c.Drain == (document.Drain{}) {
		return fail(ExitUsage, "set at least one of --data-centre, --service, --target, --instance")
	}
	if c.Target != "" && c.Service == "" {
		return fail(ExitUsage, "--target needs --service, the service of the target")
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	cur, err := cl.section(e.Team)
	if err != nil {
		return err
	}
	if cur.Revision == 0 || cur.Deleted {
		return fail(ExitInvalid, "team %q has no section", e.Team)
	}
	if sent, err := c.sentBefore(cl, e.Team); err != nil || sent != nil {
		if err != nil {
			return err
		}
		c.expect = strconv.FormatUint(sent.Revision-1, 10)
		return c.applyOptions.apply(e, &fescuepb.ApplyRequest{Team: e.Team, Yaml: sent.Yaml}, cur)
	}
	text, err := editDrains(cur.Yaml, c.Drain, c.remove)
	if err != nil {
		return err
	}
	if c.show {
		fmt.Fprintf(e.out, "%s", text)
		return nil
	}
	return c.applyOptions.apply(e, &fescuepb.ApplyRequest{Team: e.Team, Yaml: text}, cur)
}

// sentBefore returns the revision that a change with this identifier made, or
// nil. Its answer was lost; sending it again gives the first outcome.
func (c *drainCmd) sentBefore(cl *client, team string) (*fescuepb.Section, error) {
	if c.changeID == "" {
		return nil, nil
	}
	reply, err := call(cl, fescuepb.OperatorClient.History, &fescuepb.HistoryRequest{Team: team})
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

// editDrains adds the drain to the text of a section or removes it. Comments
// and the order of the other fields are kept.
func editDrains(text []byte, d document.Drain, remove bool) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil || len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, fail(ExitInvalid, "the section at the server is not a YAML mapping")
	}
	list := drainList(root.Content[0], remove)
	at, err := findDrain(list, d)
	if err != nil {
		return nil, err
	}
	switch {
	case remove && at < 0:
		return nil, fail(ExitInvalid, "the section has no such drain")
	case remove:
		list.Content = append(list.Content[:at], list.Content[at+1:]...)
	case at >= 0:
		return nil, fail(ExitInvalid, "the section has this drain already")
	default:
		n := new(yaml.Node)
		if err := n.Encode(d); err != nil {
			return nil, fail(ExitInvalid, "encode drain: %w", err)
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
		return nil, fail(ExitInvalid, "encode section: %w", err)
	}
	return buf.Bytes(), nil
}

// drainList returns the sequence of drains of a section, adding it if absent
// and something is to be added.
func drainList(section *yaml.Node, remove bool) *yaml.Node {
	for i := 0; i+1 < len(section.Content); i += 2 {
		if section.Content[i].Value != "drains" {
			continue
		}
		list := section.Content[i+1]
		if list.Kind != yaml.SequenceNode {
			*list = yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
		}
		list.Style &^= yaml.FlowStyle // an empty list is written as []
		return list
	}
	list := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
	if !remove {
		section.Content = append(section.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: "drains"}, list)
	}
	return list
}

// findDrain returns the position of an equal drain, or -1.
func findDrain(list *yaml.Node, d document.Drain) (int, error) {
	for i, n := range list.Content {
		var have document.Drain
		if err := n.Decode(&have); err != nil {
			return 0, fail(ExitInvalid, "drain %d of the section: %w", i, err)
		}
		if have == d {
			return i, nil
		}
	}
	return -1, nil
}
