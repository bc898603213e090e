// Command drive measures a fleet started by bench/fleet.sh for docs/CAPACITY.md: the CPU
// time of online requests and tokens and of batch items, the time until a configuration
// change is in force on all daemons, and the time until a killed daemon's shards have new
// owners and its items run again.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	cmd := &cobra.Command{Use: "drive", Short: "Measure a running bench/fleet.sh", SilenceUsage: true}
	dir := cmd.PersistentFlags().String("dir", "", "directory of the running fleet")
	_ = cmd.MarkPersistentFlagRequired("dir")
	cmd.AddCommand(onlineCommand(dir), batchCommand(dir), configCommand(dir), recoverCommand(dir))
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// withFleet returns a command function that opens the fleet in dir and calls f with it.
func withFleet(dir *string, f func(ctx context.Context, fleet *fleet) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		fleet, err := openFleet(*dir)
		if err != nil {
			return fmt.Errorf("opening the fleet: %w", err)
		}
		return f(cmd.Context(), fleet)
	}
}
