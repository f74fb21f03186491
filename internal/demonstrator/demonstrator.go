package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/runner"
)

// Sizes of the demonstration: Kerala's sitter matching.
const (
	shards         = 10
	replicas       = 3
	slots          = 3
	hosts          = 4
	serviceTime    = 6 * time.Millisecond
	softDeadline   = 80 * time.Millisecond
	hardDeadline   = 160 * time.Millisecond
	oldSnapshot    = 41
	newSnapshot    = 42
	matching       = "sitter-matching"
	queriesPerStep = 20
	freePort       = "127.0.0.1:0"
)

// Result is one step of the demonstration; latencies are in milliseconds.
type Result struct {
	Step      string  `json:"step"`
	Host      string  `json:"host"`
	Service   string  `json:"service"`
	Coverage  string  `json:"coverage"`
	Snapshot  uint64  `json:"snapshot"`
	LatencyMS float64 `json:"latency-ms"`
	Attempts  uint32  `json:"attempts"`
	Hits      int     `json:"hits"`
	Error     string  `json:"error,omitempty"`
}

// Demonstrator holds the embedded processes.
type Demonstrator struct {
	searchers [][]*standin.Searcher
	hosts     []*runner.Runner
	clients   []carobthreadv1connect.QueryServiceClient
	stopped   []chan error
	cancel    context.CancelFunc
	output    io.Writer
	asJSON    bool
}

// New starts the stand-in searchers and the entry hosts.
func New(output io.Writer, asJSON bool) (*Demonstrator, error) {
	demo := &Demonstrator{output: output, asJSON: asJSON}
	config, err := demo.startSearchers()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	demo.cancel = cancel
	centres := []string{"kochi", "kochi", "kollam", "thiruvananthapuram"}
	for index := range hosts {
		settings := parser.DefaultSettings()
		settings.Host = carobthread.HostSettings{
			Name:            fmt.Sprintf("entry-%d", index+1),
			DataCentre:      centres[index],
			CallerAddress:   freePort,
			PeerAddress:     freePort,
			OperatorAddress: freePort,
		}
		settings.Stop.Grace = 0
		host, err := runner.New(ctx, runner.Options{Settings: settings, Logger: zerolog.Nop(), Seed: uint64(index)})
		if err != nil {
			return nil, errors.Join(err, demo.Close())
		}
		demo.startHost(ctx, host, config)
	}
	return demo, nil
}

func (demo *Demonstrator) startHost(ctx context.Context, host *runner.Runner, config carobthread.Config) {
	host.Configure(config)
	stopped := make(chan error, 1)
	go func() { stopped <- host.Run(ctx, nil) }()
	demo.hosts = append(demo.hosts, host)
	demo.stopped = append(demo.stopped, stopped)
	client := carobthreadv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+host.CallerAddress())
	demo.clients = append(demo.clients, client)
}

func (demo *Demonstrator) startSearchers() (carobthread.Config, error) {
	config := carobthread.Config{Services: []carobthread.Service{{
		Name:          matching,
		Kind:          carobthread.KindSearch,
		Preference:    carobthread.LatencyFirst,
		SoftDeadline:  softDeadline,
		HardDeadline:  hardDeadline,
		CoverageFloor: 0.8,
		HedgeQuantile: 0.95,
		ExtraShare:    0.05,
		Layout:        1,
	}}}
	layout := carobthread.Layout{Service: matching, Generation: 1}
	centres := []string{"kochi", "kollam", "thiruvananthapuram"}
	for shard := range shards {
		row := []*standin.Searcher{}
		names := []string{}
		for replica := range replicas {
			name := fmt.Sprintf("matching-%02d-%d", shard, replica)
			searcher, err := standin.NewSearcher(standin.SearcherOptions{
				Name:        name,
				Slots:       slots,
				ServiceTime: serviceTime,
				Seed:        uint64(shard*replicas + replica),
				Snapshots:   []uint64{oldSnapshot},
				Layouts:     []uint32{1},
			})
			if err != nil {
				return config, err
			}
			row = append(row, searcher)
			names = append(names, name)
			config.Searchers = append(config.Searchers, carobthread.Searcher{
				Name:        name,
				Address:     searcher.Address(),
				DataCentre:  centres[replica],
				Slots:       slots,
				Connections: 30,
			})
		}
		demo.searchers = append(demo.searchers, row)
		layout.Shards = append(layout.Shards, names)
	}
	config.Layouts = []carobthread.Layout{layout}
	return config, nil
}

// Run sends queries with and without faults and prints each answer; it returns an error if an answer broke a promise.
func (demo *Demonstrator) Run(ctx context.Context) error {
	steps := []struct {
		name  string
		fault func()
	}{
		{"no fault", func() {}},
		{"one searcher 30 times slower", func() { demo.searchers[0][0].Slow(30) }},
		{"one replica lost", func() { _ = demo.searchers[1][0].Close() }},
		{"index rolls to the new snapshot", demo.rollIndex},
	}
	for _, step := range steps {
		step.fault()
		for range queriesPerStep {
			if err := demo.query(ctx, step.name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (demo *Demonstrator) rollIndex() {
	for shard, row := range demo.searchers {
		for _, searcher := range row {
			if shard%2 == 0 {
				searcher.Hold([]uint64{oldSnapshot, newSnapshot}, []uint32{1})
			}
		}
	}
}

// query sends one query to the next host and prints the answer.
func (demo *Demonstrator) query(ctx context.Context, step string) error {
	client := demo.clients[0]
	demo.clients = append(demo.clients[1:], client)
	response, err := client.Search(ctx, connect.NewRequest(&carobthreadv1.SearchRequest{Service: matching, Query: []byte("tonight"), Limit: 5}))
	if err != nil {
		return demo.print(Result{Step: step, Service: matching, Error: err.Error()})
	}
	message := response.Msg
	return demo.print(Result{
		Step:      step,
		Host:      message.GetHost(),
		Service:   matching,
		Coverage:  fmt.Sprintf("%d/%d", message.GetCoverage().GetAnswered(), message.GetCoverage().GetTotal()),
		Snapshot:  message.GetSnapshot(),
		LatencyMS: float64(message.GetLatencyUs()) / 1000,
		Attempts:  message.GetAttempts(),
		Hits:      len(message.GetHits()),
	})
}

func (demo *Demonstrator) print(result Result) error {
	if demo.asJSON {
		return json.NewEncoder(demo.output).Encode(result)
	}
	if result.Error != "" {
		_, err := fmt.Fprintf(demo.output, "%-34s %s: %s\n", result.Step, result.Service, result.Error)
		return err
	}
	_, err := fmt.Fprintf(demo.output, "%-34s %s coverage=%s snapshot=%d latency=%.1fms attempts=%d hits=%d host=%s\n",
		result.Step, result.Service, result.Coverage, result.Snapshot, result.LatencyMS, result.Attempts, result.Hits, result.Host)
	return err
}

// Close stops the entry hosts gracefully and then the searchers.
func (demo *Demonstrator) Close() error {
	demo.cancel()
	var first error
	for _, stopped := range demo.stopped {
		if err := <-stopped; err != nil && first == nil {
			first = err
		}
	}
	for _, row := range demo.searchers {
		for _, searcher := range row {
			_ = searcher.Close()
		}
	}
	return first
}
