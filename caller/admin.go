package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// Config is the configuration in force at a daemon.
type Config struct {
	Version uint64            `json:"version"`
	Text    string            `json:"text"`
	Applied map[string]uint64 `json:"applied"`
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	_, text, err := c.do(ctx, http.MethodGet, "/admin/config", nil, Options{}, nil)
	if err != nil {
		return config, err
	}
	return config, json.Unmarshal(text, &config)
}

// PublishConfig publishes a configuration that was made from the base version.
func (c *Client) PublishConfig(ctx context.Context, text string, base uint64) (Config, error) {
	var config Config
	header := http.Header{"If-Match": []string{strconv.FormatUint(base, 10)}}
	_, body, err := c.do(ctx, http.MethodPut, "/admin/config", strings.NewReader(text), Options{}, header)
	if err != nil {
		return config, err
	}
	return config, json.Unmarshal(body, &config)
}
