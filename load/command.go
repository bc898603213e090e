package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
)

// Flags are the command's flags.
type Flags struct {
	Daemons    []string
	Token      string
	Deployment string
	Policies   []string
	Rounds     int
	Round      time.Duration
	Settle     time.Duration
	Seed       uint64
	Shape      Shape
	Tokens     int
	JobItems   int
	Out        string
}

// Command returns the command tarragonhollow-load.
func Command() *cobra.Command {
	f := Flags{}
	cmd := &cobra.Command{
		Use:   "tarragonhollow-load",
		Short: "Measure batch policies against a running fleet",
		Long: `Sends the same open-loop online load to a running fleet under each policy in
turn, with and without batch, and prints the online tail of each arm as a ratio
to online load alone and its batch throughput as a share of batch load alone.
Policies are switched by publishing the configuration with another batch_policy.
Exit codes: 0 measured, 1 the measurement failed.`,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f.register(cmd)
	return cmd
}

func (f *Flags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringSliceVar(&f.Daemons, "daemon", nil, "URL of a daemon; repeat for each")
	flags.StringVar(&f.Token, "token", os.Getenv("TARRAGONHOLLOW_TOKEN"), "operators' bearer token")
	flags.StringVar(&f.Deployment, "deployment", deployment.DaNang, "da-nang or isarwerk: names of profiles and model")
	flags.StringSliceVar(&f.Policies, "policy", []string{"naive", "reserve", "give-way"}, "batch policies to compare")
	flags.IntVar(&f.Rounds, "rounds", 3, "how often the arms run in turn")
	flags.DurationVar(&f.Round, "round", 10*time.Second, "how long an arm sends")
	flags.DurationVar(&f.Settle, "settle", 2*time.Second, "pause before an arm sends")
	flags.Uint64Var(&f.Seed, "seed", 1, "seed of arrivals and prompts")
	flags.Float64Var(&f.Shape.Rate, "rate", 20, "online requests a second")
	flags.Float64Var(&f.Shape.BurstRate, "burst-rate", 60, "online requests a second in a burst")
	flags.DurationVar(&f.Shape.BurstEvery, "burst-every", 5*time.Second, "time between bursts")
	flags.DurationVar(&f.Shape.BurstLength, "burst-length", 1500*time.Millisecond, "length of a burst")
	flags.IntVar(&f.Tokens, "tokens", 32, "longest answer, in tokens")
	flags.IntVar(&f.JobItems, "job-items", 4000, "items of each arm's batch job")
	flags.StringVar(&f.Out, "out", "", "directory for results.csv and tail.png")
	_ = cmd.MarkFlagRequired("daemon")
}

func (f *Flags) run(ctx context.Context, out io.Writer) error {
	shape, err := deployment.ShapeOf(f.Deployment)
	if err != nil {
		return err
	}
	client := NewClient(f.Daemons, f.Token)
	apply := func(ctx context.Context, policy string) error { return f.publish(ctx, client.Daemon(0), policy) }
	results, err := Run(ctx, client, f.plan(shape), apply, func(line string) { fmt.Fprintln(out, line) })
	if err != nil {
		return err
	}
	if err := WriteTable(out, results); err != nil {
		return err
	}
	return f.write(results)
}

// Words of the prompts: a shared prefix as long as a menu, a short question.
const (
	sharedPrefixes = 6
	prefixWords    = 120
	tailWords      = 20
)

func (f *Flags) plan(shape deployment.Shape) Plan {
	arms := []Arm{
		{Name: "online-only", Online: true},
		{Name: "batch-only", Policy: f.Policies[len(f.Policies)-1], Batch: true},
	}
	for _, policy := range f.Policies {
		arms = append(arms, Arm{Name: policy, Policy: policy, Online: true, Batch: true})
	}
	return Plan{
		Arms: arms, Rounds: f.Rounds, Round: f.Round, Settle: f.Settle, Seed: f.Seed,
		Online: f.Shape, Model: shape.Model,
		OnlineProfile: shape.ChatProfile, BatchProfile: shape.BatchProfile,
		OnlineTokens: f.Tokens, BatchTokens: f.Tokens,
		Prefixes: sharedPrefixes, PrefixWords: prefixWords, TailWords: tailWords,
		JobItems: f.JobItems, Timeout: time.Minute,
	}
}

var policyLine = regexp.MustCompile(`(?m)^batch_policy *=.*\n`)

// publish puts the policy in force by publishing the configuration in force
// with another batch_policy in its engine groups.
func (f *Flags) publish(ctx context.Context, daemon *caller.Client, policy string) error {
	current, err := daemon.Config(ctx)
	if err != nil {
		return err
	}
	text := policyLine.ReplaceAllString(current.Text, "")
	text = strings.ReplaceAll(text, "kind = engine\n", "kind = engine\nbatch_policy = "+policy+"\n")
	_, err = daemon.PublishConfig(ctx, text, current.Version)
	return err
}

func (f *Flags) write(results []Result) error {
	if f.Out == "" {
		return nil
	}
	if err := os.MkdirAll(f.Out, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(f.Out, "results.csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := WriteCSV(file, results); err != nil {
		return err
	}
	return WritePlot(filepath.Join(f.Out, "tail.png"), results)
}
