package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/splitmix"
)

// Rank returns hosts in rendezvous order for the key, best first. All daemons that know the
// same hosts get the same order, and the loss of a host moves only the keys for which it
// ranked first. The input is not modified.
func Rank(key string, hosts []string) []string {
	keyHash := xxhash.Sum64String(key)
	ranked := make([]scored, len(hosts))
	for i, host := range hosts {
		ranked[i] = scored{score: score(keyHash, xxhash.Sum64String(host)), index: i}
	}
	sortScored(ranked, func(i int) string { return hosts[i] })
	out := make([]string, len(hosts))
	for i, r := range ranked {
		out[i] = hosts[r.index]
	}
	return out
}

// scored is the score of the host at an index.
type scored struct {
	score uint64
	index int
}

// score combines two hashes with the finalizer of splitmix64, so that a host's hash has to
// be computed only once for all keys.
func score(keyHash, hostHash uint64) uint64 { return splitmix.Mix(keyHash ^ splitmix.Mix(hostHash)) }

func sortScored(s []scored, host func(i int) string) {
	slices.SortFunc(s, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(host(a.index), host(b.index))
	})
}
