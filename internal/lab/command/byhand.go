package command

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/lab/byhand"
	"github.com/peterbourgon/ff/v4"
)

// defaultPlatform is the address of the platform's services, as in the settings of nodes.
const defaultPlatform = "127.0.0.1:7500"

// flagError names a flag whose value is not allowed.
func flagError(flag, value, allowed string) error {
	return fmt.Errorf("--%s: %q is not allowed; allowed: %s", flag, value, allowed)
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return flagError(flag, value, "IP:PORT")
	}
	return nil
}

func checkNamed(flag, value string) error {
	if value == "" {
		return flagError(flag, value, "a name")
	}
	return nil
}

func checkPositive(flag string, value int) error {
	if value <= 0 || value > math.MaxInt32 {
		return flagError(flag, strconv.Itoa(value), "a number from 1 on")
	}
	return nil
}

func checkDuration(flag string, value, least time.Duration) error {
	if value < least {
		return flagError(flag, value.String(), "a duration from "+least.String()+" on")
	}
	return nil
}

func platformCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("platform")
	config := byhand.PlatformConfig{}
	flags.StringVar(&config.Listen, 0, "listen", defaultPlatform, "address of log, weight store, machine list and scorer")
	flags.DurationVar(&config.MachineLag, 0, "machine-lag", time.Second, "how late the machine list is")
	flags.DurationVar(&config.TransferTime, 0, "transfer-time", 800*time.Millisecond, "time in which an engine reads one version")
	flags.IntVar(&config.MaxReaders, 0, "max-readers", 8, "engines that read weights at once")
	return &ff.Command{
		Name:      "platform",
		Usage:     "hillfork-lab platform [FLAGS]",
		ShortHelp: "stand in for the platform until a signal; everything is kept in memory",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			err := errors.Join(checkAddress("listen", config.Listen),
				checkDuration("machine-lag", config.MachineLag, 0),
				checkDuration("transfer-time", config.TransferTime, time.Millisecond),
				checkPositive("max-readers", config.MaxReaders))
			if err != nil {
				return err
			}
			return runPlatform(ctx, to, config)
		},
	}
}

func runPlatform(ctx context.Context, to output, config byhand.PlatformConfig) error {
	running, err := byhand.StartPlatform(config)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintln(to.out, "platform on", running.Address())
	<-ctx.Done()
	return nil
}

// engineFlags are the flags of engines that need reading.
type engineFlags struct {
	config       byhand.EnginesConfig
	listen       string
	models       string
	leaveTimeout time.Duration
}

func enginesCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("engines")
	parsed := &engineFlags{}
	config := &parsed.config
	flags.StringVar(&config.Pool, 0, "pool", "", "pool of the engines, which are named POOL-1 and so on")
	flags.IntVar(&config.Count, 0, "count", 1, "how many engines")
	flags.StringVar(&parsed.listen, 0, "listen", "127.0.0.1:7600", "address of the first engine; each further one takes the next port")
	flags.StringVar(&config.Platform, 0, "platform", defaultPlatform, "address of the platform")
	flags.StringVar(&config.Zone, 0, "zone", "", "zone of the engines")
	flags.StringVar(&config.Region, 0, "region", "", "region of the zone")
	flags.StringVar(&parsed.models, 0, "models", "", "models served at the start, as MODEL@VERSION, several separated by commas")
	flags.IntVar(&config.Slots, 0, "slots", 8, "answers that one engine generates at once")
	flags.DurationVar(&config.TokenTime, 0, "token-time", 10*time.Millisecond, "time of one decoding step")
	flags.DurationVar(&parsed.leaveTimeout, 0, "leave-timeout", 30*time.Second, "longest time that the engines wait for their work when they leave")
	return &ff.Command{
		Name:      "engines",
		Usage:     "hillfork-lab engines --pool NAME --zone NAME --region NAME --models MODEL@VERSION [FLAGS]",
		ShortHelp: "stand in for the engines of a pool; at a signal they leave as planned",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := parsed.check(); err != nil {
				return err
			}
			return runEngines(ctx, to, parsed)
		},
	}
}

func (f *engineFlags) check() error {
	problems := []error{
		checkNamed("pool", f.config.Pool), checkNamed("zone", f.config.Zone), checkNamed("region", f.config.Region),
		checkPositive("count", f.config.Count), checkPositive("slots", f.config.Slots),
		checkAddress("listen", f.listen), checkAddress("platform", f.config.Platform),
		checkDuration("token-time", f.config.TokenTime, time.Microsecond),
		checkDuration("leave-timeout", f.leaveTimeout, 0),
	}
	models, err := parseModels(f.models)
	problems = append(problems, err)
	f.config.Models = models
	f.config.Listen, _ = netip.ParseAddrPort(f.listen)
	if int(f.config.Listen.Port())+f.config.Count-1 > math.MaxUint16 {
		problems = append(problems, flagError("count", strconv.Itoa(f.config.Count), "as many as there are ports from --listen on"))
	}
	return errors.Join(problems...)
}

func parseModels(text string) (map[string]uint64, error) {
	models := make(map[string]uint64)
	for item := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(item), "@")
		version, err := strconv.ParseUint(number, 10, 64)
		if name == "" || err != nil || version == 0 {
			return nil, flagError("models", text, "MODEL@VERSION, several separated by commas")
		}
		models[name] = version
	}
	return models, nil
}

func runEngines(ctx context.Context, to output, flags *engineFlags) error {
	running, err := byhand.StartEngines(ctx, flags.config)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintln(to.out, "engines on", strings.Join(running.Addresses(), " "))
	<-ctx.Done()
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), flags.leaveTimeout)
	defer cancel()
	fmt.Fprintln(to.out, "engines leave")
	return running.Leave(leaving)
}

func trainerCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("trainer")
	config := byhand.TrainerConfig{}
	gateways := flags.StringLong("gateways", "127.0.0.1:7400", "API addresses of nodes, several separated by commas")
	flags.StringVar(&config.Workload, 0, "workload", "", "training workload")
	flags.StringVar(&config.Model, 0, "model", "", "model that the workload trains")
	flags.StringVar(&config.Platform, 0, "platform", defaultPlatform, "address of the platform")
	flags.IntVar(&config.Prompts, 0, "prompts", 4, "prompts of a step")
	flags.IntVar(&config.SamplesPerPrompt, 0, "samples-per-prompt", 4, "samples of a prompt")
	flags.IntVar(&config.Length, 0, "length", 80, "median length of an answer, in tokens")
	flags.IntVar(&config.MaxTokens, 0, "max-tokens", 400, "longest answer, in tokens")
	flags.DurationVar(&config.TrainTime, 0, "train-time", 2*time.Second, "time that training on a step takes")
	flags.Uint64Var(&config.FirstStep, 0, "first-step", 1, "number of the first step; a trainer that starts anew goes on after the last one's steps")
	flags.IntVar(&config.Steps, 0, "steps", 0, "steps to train; 0 goes on until a signal")
	flags.Uint64Var(&config.Seed, 0, "seed", 1, "seed of the prompts")
	return &ff.Command{
		Name:      "trainer",
		Usage:     "hillfork-lab trainer --workload NAME --model NAME [FLAGS]",
		ShortHelp: "stand in for the trainer of a workload",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			config.Gateways = strings.Split(*gateways, ",")
			if err := checkTrainer(config); err != nil {
				return err
			}
			err := byhand.RunTrainer(ctx, config, to.out)
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
}

func checkTrainer(config byhand.TrainerConfig) error {
	problems := []error{
		checkNamed("workload", config.Workload), checkNamed("model", config.Model),
		checkAddress("platform", config.Platform),
		checkPositive("prompts", config.Prompts), checkPositive("samples-per-prompt", config.SamplesPerPrompt),
		checkPositive("length", config.Length), checkPositive("max-tokens", config.MaxTokens),
		checkDuration("train-time", config.TrainTime, 0),
	}
	if config.FirstStep == 0 {
		problems = append(problems, flagError("first-step", "0", "a number from 1 on"))
	}
	if config.Steps < 0 {
		problems = append(problems, flagError("steps", strconv.Itoa(config.Steps), "a number from 0 on"))
	}
	for _, gateway := range config.Gateways {
		problems = append(problems, checkAddress("gateways", gateway))
	}
	return errors.Join(problems...)
}
