package shards

import (
	"encoding/json"
	"strings"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
)

const servicePrefix = "/v1/services/"

// groupByConfig finds an item's target group in the configuration in force. As
// long as there is none, every item has an unnamed group, so that nothing fails
// for the lack of a configuration.
func groupByConfig(current func() *config.Config) func(ledger.Item) (string, bool) {
	return func(item ledger.Item) (string, bool) {
		c := current()
		if c == nil || c.Version == 0 {
			return "", true
		}
		if rest, ok := strings.CutPrefix(item.URL, servicePrefix); ok {
			name, _, _ := strings.Cut(rest, "/")
			g := c.Groups[name]
			return name, g != nil && g.Kind == config.KindService
		}
		var body struct {
			Model string `json:"model"`
		}
		if json.Unmarshal(item.Body, &body) != nil {
			return "", false
		}
		g := c.GroupForModel(body.Model)
		if g == nil {
			return "", false
		}
		return g.Name, true
	}
}
