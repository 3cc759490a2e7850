package budget

import "sort"

// claim is what one holder would like to get of a pool.
type claim struct {
	instance string
	want     int
}

// fill splits pool over the claims with max-min fairness: nobody gets more
// than it wants, and nobody gets less than another but for its own want.
// Units that cannot be split evenly go to the holders that rank highest for
// key, so that a changing key rotates them. It also returns the units left
// over, and the even share if some got less than they want.
func fill(pool int, claims []claim, key string) (got map[string]int, rest, level int) {
	sort.Slice(claims, func(i, j int) bool {
		if claims[i].want != claims[j].want {
			return claims[i].want < claims[j].want
		}
		return claims[i].instance < claims[j].instance
	})
	got = make(map[string]int, len(claims))
	for i, c := range claims {
		share := pool / (len(claims) - i)
		if c.want > share {
			fillEvenly(pool, claims[i:], key, got)
			return got, 0, share
		}
		got[c.instance] = c.want
		pool -= c.want
	}
	return got, pool, 0
}

// fillEvenly splits pool over claims that each want more than an even share.
func fillEvenly(pool int, claims []claim, key string, out map[string]int) {
	share, extra := pool/len(claims), pool%len(claims)
	names := make([]string, len(claims))
	for i, c := range claims {
		names[i] = c.instance
		out[c.instance] = share
	}
	for _, n := range ranked(key, names)[:extra] {
		out[n]++
	}
}
