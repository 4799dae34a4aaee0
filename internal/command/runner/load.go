package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/load/generator"
)

// errWrongAnswers means that a load run received answers that a correct system never sends.
var errWrongAnswers = errors.New("load run received wrong answers")

// A loadCommand sends load to running daemons on loopback, or directly to a model engine.
type loadCommand struct {
	Questionnaire string        `arg:"" optional:"" help:"Questionnaire that names deployments, adapters and services; the demo's by default." type:"existingfile"`
	Daemon        []string      `help:"IP and port of entry daemons that callers ask for addresses; loopback only." env:"SAMPHIREWHARF_LOAD_DAEMON"`
	Engine        string        `help:"IP and port of a model engine to send to directly; every second completion goes there if daemons are given too. Loopback only." env:"SAMPHIREWHARF_LOAD_ENGINE"`
	Counter       []string      `help:"IP and port of stand-in servers whose counts are compared with the answers." env:"SAMPHIREWHARF_LOAD_COUNTER"`
	Model         []string      `help:"Deployments and adapters to request; all by default." env:"SAMPHIREWHARF_LOAD_MODEL"`
	CallerZone    string        `help:"Availability zone of the callers." env:"SAMPHIREWHARF_LOAD_CALLER_ZONE"`
	Callers       int           `help:"Number of callers, each with its own cache of addresses." default:"20" env:"SAMPHIREWHARF_LOAD_CALLERS"`
	Rate          float64       `help:"Requests due per second." default:"50" env:"SAMPHIREWHARF_LOAD_RATE"`
	Requests      int           `help:"Maximum number of requests." default:"1000000" env:"SAMPHIREWHARF_LOAD_REQUESTS"`
	Duration      time.Duration `help:"Maximum duration after the warm-up, up to 1h." default:"10s" env:"SAMPHIREWHARF_LOAD_DURATION"`
	WarmUp        time.Duration `help:"Time at the start that is not measured." default:"0s" env:"SAMPHIREWHARF_LOAD_WARM_UP"`
	MaxInFlight   int           `help:"Maximum number of requests in flight; requests due beyond it are skipped." default:"20000" env:"SAMPHIREWHARF_LOAD_MAX_IN_FLIGHT"`
	Timeout       time.Duration `help:"Time limit of each request; its deployment's deadline by default." env:"SAMPHIREWHARF_LOAD_TIMEOUT"`
	Retries       int           `help:"Maximum number of retries of a refused request, each after its Retry-After." env:"SAMPHIREWHARF_LOAD_RETRIES"`
	Streams       float64       `help:"Share of completions that are streamed." default:"0.5" env:"SAMPHIREWHARF_LOAD_STREAMS"`
	Urgent        float64       `help:"Share of requests that are urgent." default:"0.5" env:"SAMPHIREWHARF_LOAD_URGENT"`
	Chats         float64       `help:"Share of completions that are chats." default:"0.2" env:"SAMPHIREWHARF_LOAD_CHATS"`
	Adapters      float64       `help:"Share of completions that request an adapter." default:"0.3" env:"SAMPHIREWHARF_LOAD_ADAPTERS"`
	Bookings      float64       `help:"Share of requests that are bookings at plain services." default:"0.1" env:"SAMPHIREWHARF_LOAD_BOOKINGS"`
	Repeats       float64       `help:"Share of bookings that are sent twice concurrently." default:"0.2" env:"SAMPHIREWHARF_LOAD_REPEATS"`
	Tokens        int           `help:"Tokens of each completion." default:"16" env:"SAMPHIREWHARF_LOAD_TOKENS"`
	PromptBytes   int           `help:"Size of each prompt." default:"100" env:"SAMPHIREWHARF_LOAD_PROMPT_BYTES"`
	Seed          uint64        `help:"Seed of all choices." default:"1" env:"SAMPHIREWHARF_LOAD_SEED"`
}

// Run sends the load and prints the measurements. It fails if an answer was wrong.
func (c *loadCommand) Run(ctx context.Context, r *Runner) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	g, err := generator.New(settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := g.Run(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := r.print(report, func(w *strings.Builder) { writeLoad(w, report) }); err != nil {
		return err
	}
	if wrong := report.WrongAnswers(); wrong > 0 {
		return fmt.Errorf("%w: %d", errWrongAnswers, wrong)
	}
	return nil
}

// settings returns the settings of the load generator.
func (c *loadCommand) settings() (generator.Settings, error) {
	data, err := questioner.Example("demo")
	if c.Questionnaire != "" {
		data, err = os.ReadFile(c.Questionnaire)
	}
	if err != nil {
		return generator.Settings{}, fmt.Errorf("reading questionnaire: %w", err)
	}
	questionnaire, err := questioner.Parse(data)
	if err != nil {
		return generator.Settings{}, err
	}
	configuration, _ := questioner.Generate(questionnaire)
	return generator.Settings{
		Daemons: c.Daemon, Engine: c.Engine, Counters: c.Counter, Configuration: configuration,
		Models: c.Model, Zone: c.CallerZone, Callers: c.Callers,
		Rate: c.Rate, Requests: c.Requests, Duration: c.Duration, WarmUp: c.WarmUp, MaxInFlight: c.MaxInFlight,
		Timeout: c.Timeout, Retries: c.Retries,
		StreamShare: c.Streams, UrgentShare: c.Urgent, ChatShare: c.Chats, AdapterShare: c.Adapters,
		BookingShare: c.Bookings, DuplicateShare: c.Repeats, Tokens: c.Tokens, PromptBytes: c.PromptBytes, Seed: c.Seed,
	}, nil
}

// writeLoad writes the report as text.
func writeLoad(w *strings.Builder, r generator.Report) {
	fmt.Fprintf(w, "Seed %d: %d due in %.1f s (%.1f/s), %d skipped, %d sent, %d of them retries\n",
		r.Seed, r.Due, r.Seconds, r.OfferedRate, r.Skipped, r.Sent, r.Retried)
	fmt.Fprintf(w, "%d served, %d refused, %d missed deadlines, %.0f streamed tokens/s\n", r.Served, r.Refused, r.MissedDeadlines, r.TokensPerSecond)
	fmt.Fprintf(w, "%d bookings counted, %d of them ran more than once\n", r.BookingsCounted, r.BookingsRunTwice)
	fmt.Fprintln(w, "CODE\tNAME\tRAN\tCOUNT")
	for _, c := range r.Codes {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", c.Code, c.Name, c.Ran, c.Count)
	}
	fmt.Fprintln(w, "MILLISECONDS\tCOUNT\tMEAN\tP50\tP90\tP95\tP99\tP99.9\tMAX")
	for _, line := range []struct {
		name string
		d    generator.Distribution
	}{
		{"Address lookup", r.Lookups},
		{"Send delay", r.SendDelay},
		{"Whole answer", r.Latency},
		{"Booking", r.Bookings},
		{"First token", r.FirstToken},
		{"Whole answer, direct", r.Direct},
		{"First token, direct", r.DirectFirstToken},
		{"Between tokens", r.BetweenTokens},
		{"Refusal", r.RefusalLatency},
	} {
		d := line.d
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", line.name, d.Count, d.Mean, d.P50, d.P90, d.P95, d.P99, d.P999, d.Max)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "%s: %d, such as %s\n", f.Fault, f.Count, strings.Join(f.Examples, "; "))
	}
}
