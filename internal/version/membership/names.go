package membership

import "net"

// listedNames holds the identifiers, addresses and hosts in a list.
type listedNames struct {
	anyEntry  bool // the list has at least one entry instance
	ids       map[string]bool
	addresses map[string]bool // of instances that are not committed under their own identifier
	hosts     map[string]bool
}

// collectNames returns the names in a list, given the committed entries.
func collectNames(list []ListedInstance, entries []Entry) listedNames {
	committed := map[string]bool{}
	for _, e := range entries {
		committed[e.Instance] = true
	}
	n := listedNames{ids: map[string]bool{}, addresses: map[string]bool{}, hosts: map[string]bool{}}
	for _, l := range list {
		n.anyEntry = n.anyEntry || l.Role == RoleEntry
		n.ids[l.ID] = true
		if !committed[l.ID] {
			n.addresses[l.Address] = true
		}
		if host, _, err := net.SplitHostPort(l.Address); err == nil {
			n.hosts[host] = true
		}
	}
	return n
}

// containsEntry reports whether the list names a committed entry: by its
// identifier, or by its address if the platform uses another identifier for it.
func (n listedNames) containsEntry(e Entry) bool { return n.ids[e.Instance] || n.addresses[e.Address] }
