package daemon

import (
	"context"
	"os"

	"tarragonhollow.example/tarragonhollow/logging"
	"tarragonhollow.example/tarragonhollow/settings"
)

// Serve runs one daemon with the given settings until ctx is done or an operator drains it.
// It logs to standard error.
func Serve(ctx context.Context, s *settings.Settings) error {
	logger, level := logging.New(os.Stderr, s.Log.Level)
	defer func() { _ = logger.Sync() }()
	d, err := New(s, Options{Logger: logger, Level: level})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
