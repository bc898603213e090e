package daemon

import (
	"context"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Burn implements api.Backend.
func (b *backend) Burn(context.Context) (any, error) {
	return nil, outcome.Refuse(outcome.NotReady, "the burn report is not wired yet")
}
