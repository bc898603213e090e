package config

import (
	"encoding/json"
	"strings"

	"tarragonhollow.example/tarragonhollow/jobline"
)

// GroupForItem returns the name of the target group that serves a batch item, selected by
// the item's URL or, for a chat completion, by the model in its body. ok is false if no
// group serves the item; for a service URL, name is still the service's name then.
func (c *Config) GroupForItem(url string, body []byte) (name string, ok bool) {
	if rest, isService := strings.CutPrefix(url, jobline.ServicePrefix); isService {
		name, _, _ := strings.Cut(rest, "/")
		g := c.Groups[name]
		return name, g != nil && g.Kind == KindService
	}
	var fields struct {
		Model string `json:"model"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return "", false
	}
	g := c.GroupForModel(fields.Model)
	if g == nil {
		return "", false
	}
	return g.Name, true
}
