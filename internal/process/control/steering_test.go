package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// setSerial returns a change that replaces the section of the team operator by an
// empty one with the given serial.
func setSerial(requestID string, base, serial uint64) SerialChange {
	return SerialChange{Team: "operator", Author: "operator", Base: base, RequestID: requestID, Build: func(*document.Section) (*document.Section, error) {
		return &document.Section{Team: "operator", Serial: serial}, nil
	}}
}

// Guards against accepting two changes that are based on the same serial, against
// refusing an accepted request when it is sent again, and against accepting a
// serial that does not increase.
func TestSteeringBySerial(t *testing.T) {
	st, ctx := newServer(t, true).Steering(), t.Context()
	for _, tc := range []struct {
		name string
		c    SerialChange
		want errkind.Kind // "" if it is accepted
	}{
		{"base too high", setSerial("0", 3, 4), errkind.Conflict},
		{"first", setSerial("a", 0, 5), ""},
		{"first, sent again", setSerial("a", 0, 5), ""},
		{"another request on the same base", setSerial("b", 0, 5), errkind.Conflict},
		{"serial does not increase", setSerial("c", 5, 5), errkind.InvalidDocument},
		{"second", setSerial("d", 5, 9), ""},
		{"first, sent again after the second", setSerial("a", 0, 5), ""},
	} {
		err := st.Change(ctx, tc.c)
		if (err == nil) != (tc.want == "") || err != nil && errkind.Of(err) != tc.want {
			t.Errorf("%s: %v, want %q", tc.name, err, tc.want)
		}
	}
	s, err := st.Section(ctx, "operator")
	if err != nil || s == nil || s.Serial != 9 {
		t.Errorf("section %+v, %v; want serial 9", s, err)
	}
}

// Guards against a drain that is lost when it is requested twice, and against one
// that stays in force after it was withdrawn.
func TestSteeringDrain(t *testing.T) {
	st, ctx := newServer(t, true).Steering(), t.Context()
	for i, drained := range []bool{true, true, false, false, true} {
		if err := st.Drain(ctx, "dc1", "operator", drained); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		s, err := st.Section(ctx, document.PlatformTeam)
		if err != nil || (len(s.Drains) == 1) != drained {
			t.Errorf("step %d: drains %v, %v; want drained %v", i, s.Drains, err, drained)
		}
	}
	if err := st.Drain(ctx, "nowhere", "operator", true); errkind.Of(err) != errkind.InvalidDocument {
		t.Errorf("unknown data centre: %v", err)
	}
}

// Guards against a section above the limit that the operator sends again and again,
// because the answer doesn't say that it can never be accepted.
func TestSteeringRefusesLargeSections(t *testing.T) {
	st := newServer(t, true).Steering()
	err := st.Change(t.Context(), SerialChange{Team: "operator", Author: "operator", RequestID: "a", Build: func(*document.Section) (*document.Section, error) {
		s := &document.Section{Team: "operator", Serial: 1}
		for i := range 10_000 {
			s.HostRoutes = append(s.HostRoutes, document.HostRoute{
				Name: fmt.Sprint("route-", i), Host: "rota.example", Prefix: fmt.Sprintf("/%d/", i), Timeout: 2e9,
				Services: []document.ServicePart{{Service: "rota", Weight: 1}},
			})
		}
		return s, nil
	}})
	if errkind.Of(err) != errkind.BadRequest || !strings.Contains(err.Error(), "exceed the limit of 1048576") {
		t.Errorf("got %v", err)
	}
}
