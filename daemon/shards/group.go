package shards

import (
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// groupByConfig returns a function that looks up an item's target group in the current
// configuration. While there is no configuration, every item gets the group "", so that no
// item fails for lack of one.
func groupByConfig(current func() *config.Config) func(ledger.Item) (string, bool) {
	return func(item ledger.Item) (string, bool) {
		c := current()
		if c == nil || c.Version == 0 {
			return "", true
		}
		return c.GroupForItem(item.URL, item.Body)
	}
}
