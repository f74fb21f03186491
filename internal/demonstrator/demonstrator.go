package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"

	"carobthread/internal/deployer"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

const (
	queriesPerStep = 20
	// slowFactor is the straggler's service time in units of the normal one.
	slowFactor = 30
	// rollPause lets the searchers' reports say which snapshots they hold.
	rollPause = 1500 * time.Millisecond
)

// Result is one line of the demonstration; latencies are in milliseconds.
type Result struct {
	Step      string  `json:"step"`
	Host      string  `json:"host,omitempty"`
	Service   string  `json:"service"`
	Coverage  string  `json:"coverage,omitempty"`
	Snapshot  uint64  `json:"snapshot,omitempty"`
	LatencyMS float64 `json:"latency-ms"`
	Attempts  uint32  `json:"attempts,omitempty"`
	Hits      int     `json:"hits,omitempty"`
	Outcome   string  `json:"outcome,omitempty"`
	Runs      int     `json:"runs,omitempty"`
	Error     string  `json:"error,omitempty"`
}

// Demonstrator sends queries and bookings to a deployment and prints what comes back.
type Demonstrator struct {
	deployment *deployer.Deployment
	nextHost   int
	output     io.Writer
	asJSON     bool
}

// New starts a deployment for the demonstration.
func New(ctx context.Context, output io.Writer, asJSON bool) (*Demonstrator, error) {
	deployment, err := deployer.New(ctx, deployer.Options{})
	if err != nil {
		return nil, err
	}
	return &Demonstrator{deployment: deployment, output: output, asJSON: asJSON}, nil
}

// Run shows queries without a fault, with a straggler, a lost replica and an index roll, and a repeated booking.
func (demo *Demonstrator) Run(ctx context.Context) error {
	searchers := demo.deployment.Matching
	steps := []struct {
		name  string
		fault func()
	}{
		{"no fault", func() {}},
		{"one searcher 30 times slower", func() { searchers[0][0].Slow(slowFactor) }},
		{"one replica lost", func() { _ = searchers[1][0].Close() }},
		{"index rolls, half of the shards", func() { demo.rollIndex(deployer.Shards / 2) }},
		{"index rolls, all shards", func() { demo.rollIndex(deployer.Shards) }},
	}
	for _, step := range steps {
		step.fault()
		for range queriesPerStep {
			if err := demo.query(ctx, step.name); err != nil {
				return err
			}
		}
	}
	return demo.book(ctx)
}

// rollIndex gives the first shards the new snapshot beside the old one and waits for their reports.
func (demo *Demonstrator) rollIndex(shards int) {
	for _, row := range demo.deployment.Matching[:shards] {
		for _, searcher := range row {
			searcher.Hold([]uint64{deployer.OldSnapshot, deployer.NewSnapshot}, []uint32{1})
		}
	}
	time.Sleep(rollPause)
}

// client returns the next host's client in turn, as a balancer does.
func (demo *Demonstrator) client() carobthreadv1connect.QueryServiceClient {
	demo.nextHost++
	return demo.deployment.Hosts[demo.nextHost%len(demo.deployment.Hosts)].Client
}

func (demo *Demonstrator) query(ctx context.Context, step string) error {
	response, err := demo.client().Search(ctx, connect.NewRequest(&carobthreadv1.SearchRequest{
		Service: deployer.Matching,
		Query:   []byte("tonight"),
		Limit:   5,
	}))
	if err != nil {
		return demo.print(Result{Step: step, Service: deployer.Matching, Error: err.Error()})
	}
	message := response.Msg
	return demo.print(Result{
		Step:      step,
		Host:      message.GetHost(),
		Service:   deployer.Matching,
		Coverage:  fmt.Sprintf("%d/%d", message.GetCoverage().GetAnswered(), message.GetCoverage().GetTotal()),
		Snapshot:  message.GetSnapshot(),
		LatencyMS: float64(message.GetLatencyUs()) / 1000,
		Attempts:  message.GetAttempts(),
		Hits:      len(message.GetHits()),
	})
}

// book reserves one key and executes it through every host; it must run once.
func (demo *Demonstrator) book(ctx context.Context) error {
	reserved, err := demo.client().Reserve(ctx, connect.NewRequest(&carobthreadv1.ReserveRequest{Service: deployer.Bookings}))
	if err != nil {
		return fmt.Errorf("reserve: %w", err)
	}
	key := reserved.Msg.GetKey()
	for range demo.deployment.Hosts {
		started := time.Now()
		response, err := demo.client().Execute(ctx, connect.NewRequest(&carobthreadv1.ExecuteRequest{
			Key:     key,
			Service: deployer.Bookings,
			Payload: []byte("sitter 12, tonight"),
		}))
		if err != nil {
			return fmt.Errorf("execute: %w", err)
		}
		result := Result{
			Step:      "one booking sent through every host",
			Service:   deployer.Bookings,
			LatencyMS: float64(time.Since(started).Microseconds()) / 1000,
			Outcome:   response.Msg.GetStatus().String(),
			Runs:      demo.runs(key),
		}
		if err := demo.print(result); err != nil {
			return err
		}
	}
	if runs := demo.runs(key); runs != 1 {
		return fmt.Errorf("the booking ran %d times", runs)
	}
	return nil
}

func (demo *Demonstrator) runs(key string) int {
	runs := 0
	for _, searcher := range demo.deployment.Bookings {
		runs += searcher.Runs(key)
	}
	return runs
}

func (demo *Demonstrator) print(result Result) error {
	if demo.asJSON {
		return json.NewEncoder(demo.output).Encode(result)
	}
	_, err := fmt.Fprintf(demo.output, "%-36s %s\n", result.Step, result.text())
	return err
}

func (result *Result) text() string {
	switch {
	case result.Error != "":
		return result.Service + ": " + result.Error
	case result.Outcome != "":
		return fmt.Sprintf("%s outcome=%s latency=%.1fms runs=%d", result.Service, result.Outcome, result.LatencyMS, result.Runs)
	default:
		return fmt.Sprintf("%s coverage=%s snapshot=%d latency=%.1fms attempts=%d hits=%d host=%s",
			result.Service, result.Coverage, result.Snapshot, result.LatencyMS, result.Attempts, result.Hits, result.Host)
	}
}

// Close stops the deployment gracefully.
func (demo *Demonstrator) Close() error {
	if err := demo.deployment.Close(); err != nil {
		return errors.Join(errors.New("the deployment did not stop cleanly"), err)
	}
	return nil
}
