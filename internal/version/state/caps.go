package state

import "github.com/fescuejunction/fescuejunction/internal/version/document"

// EarlierCap is the cap of a shift, in requests in flight, in a replaced revision
// of a section.
type EarlierCap struct {
	Shift string
	Cap   int
	Until uint64 // the version that replaced the revision
}

// EarlierCaps returns the caps of the shifts in the stored revisions of all
// sections, except the current revisions.
func (m *Machine) EarlierCaps() []EarlierCap {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []EarlierCap
	for _, team := range sortedKeys(m.history) {
		list := m.history[team]
		var last *document.Source // the revisions of a section differ in few of its routes
		for i := 0; i+1 < len(list); i++ {
			if list[i].Deleted {
				continue
			}
			yaml, err := unpack(list[i].Yaml)
			src, problems := document.ParseAfter(last, team, yaml)
			if err != nil || len(problems) > 0 {
				continue // accepted by a version with less strict parsing
			}
			last = src
			for _, sh := range src.Section.Shifts {
				out = append(out, EarlierCap{Shift: sh.Name, Cap: sh.Cap, Until: list[i+1].Version})
			}
		}
	}
	return out
}
