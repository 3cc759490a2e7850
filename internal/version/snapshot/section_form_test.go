package snapshot

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Guards against a follower without any host route of a section after it got the whole
// section, from a source of an earlier build, in place of the same revision without
// routes: the parsed content is kept by revision alone.
func TestWholeSectionReplacesSectionWithoutRoutes(t *testing.T) {
	const head = "team: rota\nservices:\n  - {name: rota, guarded_slots: true, health_path: /health}\n"
	const whole = head + "host_routes:\n  - {name: r, host: rota.example, prefix: /, timeout: 2s, services: [{service: rota, weight: 1}]}\n"
	b := new(Builder)
	section := &fescuepb.Section{Team: "rota", Revision: 5, Version: 5, Yaml: []byte(head), RoutesApart: true}
	route := &fescuepb.HostRoute{Team: "rota", Name: "r", Host: "rota.example", Prefix: "/", TimeoutNs: 2e9,
		Services: []*fescuepb.ServicePart{{Service: "rota", Weight: 1}}, ChangedVersion: 5}
	s, err := b.Build(Content{Version: 5, Sections: []*fescuepb.Section{section}, Routes: []*fescuepb.HostRoute{route}})
	if err != nil || s.HostRoute("rota.example", "/x") == nil {
		t.Fatalf("no route before: %v", err)
	}
	section = &fescuepb.Section{Team: "rota", Revision: 5, Version: 5, Yaml: []byte(whole)}
	s, err = b.Build(Content{Version: 6, Sections: []*fescuepb.Section{section}})
	if err != nil || s.HostRoute("rota.example", "/x") == nil {
		t.Errorf("no route after the whole section was received: %v", err)
	}
}
