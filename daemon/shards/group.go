package shards

import (
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

// groupByConfig finds an item's target group in the configuration in force. As
// long as there is none, every item has an unnamed group, so that nothing fails
// for the lack of a configuration.
func groupByConfig(current func() *config.Config) func(ledger.Item) (string, bool) {
	return func(item ledger.Item) (string, bool) {
		c := current()
		if c == nil || c.Version == 0 {
			return "", true
		}
		return c.GroupForItem(item.URL, item.Body)
	}
}
