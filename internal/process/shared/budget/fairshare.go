package budget

import "sort"

// claim is the number of units that one holder requests from a pool.
type claim struct {
	instance string
	want     int
}

// maxMinFair divides pool among the claims with max-min fairness: no holder gets
// more than it requests, and a holder gets less than another one only if it
// requests less. Units that cannot be divided evenly go to the holders that rank
// highest by hash with key, so that a changing key moves them from holder to
// holder. It returns the units of each instance, the units that nobody
// requested, and the even share if some holders got less than they requested, or
// 0 if none did.
func maxMinFair(pool int, claims []claim, key string) (allocated map[string]int, unallocated, fairShare int) {
	sort.Slice(claims, func(i, j int) bool {
		if claims[i].want != claims[j].want {
			return claims[i].want < claims[j].want
		}
		return claims[i].instance < claims[j].instance
	})
	allocated = make(map[string]int, len(claims))
	for i, c := range claims {
		share := pool / (len(claims) - i)
		if c.want > share {
			splitEvenly(pool, claims[i:], key, allocated)
			return allocated, 0, share
		}
		allocated[c.instance] = c.want
		pool -= c.want
	}
	return allocated, pool, 0
}

// splitEvenly divides pool among claims that each request more than an even
// share, and adds the units of each instance to allocated.
func splitEvenly(pool int, claims []claim, key string, allocated map[string]int) {
	share, extra := pool/len(claims), pool%len(claims)
	names := make([]string, len(claims))
	for i, c := range claims {
		names[i] = c.instance
		allocated[c.instance] = share
	}
	for _, n := range rankByHash(key, names)[:extra] {
		allocated[n]++
	}
}
