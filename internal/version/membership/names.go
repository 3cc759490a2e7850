package membership

import "net"

// names are the identifiers, addresses and hosts in a list.
type listedNames struct {
	anyEntry  bool
	ids       map[string]bool
	addresses map[string]bool // of instances that are not committed themselves
	hosts     map[string]bool
}

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

// entry reports whether the list names a committed entry: by its identifier,
// or by its address if the platform identifies it by another name.
func (n listedNames) containsEntry(e Entry) bool { return n.ids[e.Instance] || n.addresses[e.Address] }
