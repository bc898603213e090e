package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
)

// Flags are the flags of tarragonhollow-load.
type Flags struct {
	Daemons    []string
	Token      string
	Deployment string
	Policies   []string
	Arms       []string
	Engines    []string
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
turn, with and without batch. It prints the online tail latency of each arm as a
ratio to online load alone, and its batch throughput as a share of batch load alone
and of the idle capacity, which is the throughput of batch load alone minus the rate
of online requests: both are of the same size, so a request uses one item's capacity.
For each arm the configuration is published with the arm's settings; at the end the
original configuration is published again.
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
	flags.StringArrayVar(&f.Arms, "arm", nil, "additional arm as NAME:KEY=VALUE,...; keys kind (online, batch, both, direct), base (an arm's name), else settings to publish; repeat for each")
	flags.StringSliceVar(&f.Engines, "engine", nil, "address of an engine, for arms of kind direct; repeat for each")
	flags.IntVar(&f.Rounds, "rounds", 3, "number of rounds; each round runs every arm once")
	flags.DurationVar(&f.Round, "round", 10*time.Second, "how long an arm sends load in a round")
	flags.DurationVar(&f.Settle, "settle", 2*time.Second, "pause before an arm sends load")
	flags.Uint64Var(&f.Seed, "seed", 1, "seed of arrivals and prompts")
	flags.Float64Var(&f.Shape.Rate, "rate", 20, "online requests a second")
	flags.Float64Var(&f.Shape.BurstRate, "burst-rate", 60, "online requests a second in a burst")
	flags.DurationVar(&f.Shape.BurstEvery, "burst-every", 5*time.Second, "time between bursts")
	flags.DurationVar(&f.Shape.BurstLength, "burst-length", 1500*time.Millisecond, "length of a burst")
	flags.IntVar(&f.Tokens, "tokens", 32, "maximum length of an answer in tokens")
	flags.IntVar(&f.JobItems, "job-items", 4000, "number of items of each arm's batch job")
	flags.StringVar(&f.Out, "out", "", "directory for results.csv and tail.png")
	_ = cmd.MarkFlagRequired("daemon")
}

func (f *Flags) run(ctx context.Context, out io.Writer) error {
	shape, err := deployment.ShapeOf(f.Deployment)
	if err != nil {
		return err
	}
	plan, err := f.plan(shape)
	if err != nil {
		return err
	}
	client := NewClient(f.Daemons, f.Engines, f.Token)
	defer client.Close()
	apply, restore, err := publisher(ctx, client.Daemon(0), plan.BatchProfile)
	if err != nil {
		return err
	}
	results, err := Run(ctx, client, plan, apply, func(line string) { fmt.Fprintln(out, line) })
	if restored := restore(context.WithoutCancel(ctx)); err == nil {
		err = restored
	}
	if err != nil {
		return err
	}
	if err := WriteTable(out, results); err != nil {
		return err
	}
	return f.write(results)
}

// Shape of the prompts, in words: a shared prefix as long as a menu, and a short question.
const (
	sharedPrefixes = 6
	prefixWords    = 120
	tailWords      = 20
)

func (f *Flags) plan(shape deployment.Shape) (Plan, error) {
	arms, err := f.arms()
	if err != nil {
		return Plan{}, err
	}
	return Plan{
		Arms: arms, Rounds: f.Rounds, Round: f.Round, Settle: f.Settle, Seed: f.Seed,
		Online: f.Shape, Model: shape.Model,
		OnlineProfile: shape.ChatProfile, BatchProfile: shape.BatchProfile,
		OnlineTokens: f.Tokens, BatchTokens: f.Tokens,
		Prefixes: sharedPrefixes, PrefixWords: prefixWords, TailWords: tailWords,
		JobItems: f.JobItems, Timeout: time.Minute,
	}, nil
}

// arms returns the two reference arms, one arm for each policy, and those of --arm.
func (f *Flags) arms() ([]Arm, error) {
	arms := []Arm{
		{Name: "online-only", Online: true},
		{Name: "batch-only", Batch: true},
	}
	for _, policy := range f.Policies {
		settings := []Setting{{"batch_policy", policy}}
		arms = append(arms, Arm{Name: policy, Settings: settings, Online: true, Batch: true})
	}
	for _, text := range f.Arms {
		arm, err := ParseArm(text)
		if err != nil {
			return nil, err
		}
		if arm.Direct && len(f.Engines) == 0 {
			return nil, fmt.Errorf("arm %s: kind %s needs --engine", arm.Name, kindDirect)
		}
		arms = append(arms, arm)
	}
	return arms, nil
}

// publisher returns a function that publishes the current configuration with the given
// settings applied, and one that publishes the current configuration again.
func publisher(ctx context.Context, daemon *caller.Client, profile string) (SettingsPublisher, func(context.Context) error, error) {
	original, err := daemon.Config(ctx)
	if err != nil {
		return nil, nil, err
	}
	version, inForce := original.Version, original.Text
	publish := func(ctx context.Context, settings []Setting) error {
		text := withSettings(original.Text, profile, settings)
		if text == inForce {
			return nil
		}
		accepted, err := daemon.PublishConfig(ctx, text, version)
		if err != nil {
			return err
		}
		version, inForce = accepted.Version, text
		return nil
	}
	return publish, func(ctx context.Context) error { return publish(ctx, nil) }, nil
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
