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
	// stragglerSlowdown is the factor by which the straggler's service time is multiplied.
	stragglerSlowdown = 30
	// reportDelay gives the hosts time to receive the searchers' reports of the snapshots that they hold.
	reportDelay = 1500 * time.Millisecond
)

// Result is one output line of the demonstration.
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

// Demonstrator sends queries and bookings to a deployment and prints the results.
type Demonstrator struct {
	deployment *deployer.Deployment
	nextHost   int
	output     io.Writer
	asJSON     bool
}

// New starts a deployment to demonstrate on.
func New(ctx context.Context, output io.Writer, asJSON bool) (*Demonstrator, error) {
	deployment, err := deployer.New(ctx, deployer.Options{})
	if err != nil {
		return nil, err
	}
	return &Demonstrator{deployment: deployment, output: output, asJSON: asJSON}, nil
}

// Run sends queries without a fault, with a straggler, with a lost replica and during the roll-out of a new snapshot,
// then sends one booking through every host.
func (demo *Demonstrator) Run(ctx context.Context) error {
	searchers := demo.deployment.Matching
	steps := []struct {
		name        string
		injectFault func()
	}{
		{"no fault", func() {}},
		{"one searcher 30 times slower", func() { searchers[0][0].SetSlowdown(stragglerSlowdown) }},
		{"one replica lost", func() { _ = searchers[1][0].Close() }},
		{"index rolls, half of the shards", func() { demo.addSnapshot(deployer.Shards / 2) }},
		{"index rolls, all shards", func() { demo.addSnapshot(deployer.Shards) }},
	}
	for _, step := range steps {
		step.injectFault()
		for range queriesPerStep {
			if err := demo.query(ctx, step.name); err != nil {
				return err
			}
		}
	}
	return demo.repeatBooking(ctx)
}

// addSnapshot adds the new snapshot to the searchers of the first shards, which keep the old one, and waits for their
// reports.
func (demo *Demonstrator) addSnapshot(shards int) {
	for _, replicas := range demo.deployment.Matching[:shards] {
		for _, searcher := range replicas {
			searcher.SetServed([]uint64{deployer.OldSnapshot, deployer.NewSnapshot}, []uint32{1})
		}
	}
	time.Sleep(reportDelay)
}

// client returns the clients of the hosts round-robin, like a load balancer.
func (demo *Demonstrator) client() carobthreadv1connect.QueryServiceClient {
	demo.nextHost++
	return demo.deployment.Hosts[demo.nextHost%len(demo.deployment.Hosts)].Client
}

// query sends a search and prints its result.
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

// repeatBooking reserves a key and executes it through every host. It returns an error unless the booking ran exactly
// once.
func (demo *Demonstrator) repeatBooking(ctx context.Context) error {
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
		return fmt.Errorf("the booking ran %d times instead of once", runs)
	}
	return nil
}

// runs returns how many times the booking with that key has run on any searcher.
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
		return errors.Join(errors.New("the deployment failed to stop gracefully"), err)
	}
	return nil
}
