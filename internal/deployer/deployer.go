package deployer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/runner"
	"carobthread/timer"
)

// Names and sizes of the deployment.
const (
	Matching = "sitter-matching"
	Bookings = "bookings"

	Shards           = 10
	Replicas         = 3
	BookingSearchers = 20
	OldSnapshot      = 41
	NewSnapshot      = 42

	slots       = 3
	connections = 30
	serviceTime = 6 * time.Millisecond
	freePort    = "127.0.0.1:0"
	// readyTimeout limits the wait for the hosts to receive their configuration.
	readyTimeout = 10 * time.Second
)

// DataCentres returns the data centres of Kerala. Each shard has a replica in each of them.
func DataCentres() []string { return []string{"kochi", "kollam", "thiruvananthapuram"} }

// hostDataCentres returns the data centres of the four entry hosts.
func hostDataCentres() []string { return []string{"kochi", "kochi", "kollam", "thiruvananthapuram"} }

// Options configure a deployment; zero values select the defaults.
type Options struct {
	// Grace is how long a stopping host continues to accept work; the default is 0.
	Grace time.Duration
	// Logger receives the hosts' logs; the default discards them.
	Logger zerolog.Logger
	// TraceDirectory is the directory for each host's decision trace and spans; by default none are written.
	TraceDirectory string
}

// Deployment is a running deployment of the platform, the searchers and the entry hosts.
type Deployment struct {
	Platform *standin.Platform
	// Matching holds the replicas of each shard of the search service, Bookings the searchers that run bookings.
	Matching [][]*standin.Searcher
	Bookings []*standin.Searcher
	Hosts    []*Host

	options        Options
	platformServer *standin.PlatformServer
	ticket         uint64
	config         carobthread.Config
}

// Host is one entry host of a deployment with its own client.
type Host struct {
	Runner *runner.Runner
	Client carobthreadv1connect.QueryServiceClient

	transport *http.Transport
	cancel    context.CancelFunc
	stopped   chan error
}

// New starts a deployment and waits until every host is ready.
func New(ctx context.Context, options Options) (*Deployment, error) {
	deployment := &Deployment{options: options}
	err := deployment.start(ctx)
	if err != nil {
		return nil, errors.Join(err, deployment.Close())
	}
	return deployment, nil
}

func (deployment *Deployment) start(ctx context.Context) error {
	if err := deployment.startUpstreams(); err != nil {
		return err
	}
	for index := range hostDataCentres() {
		if err := deployment.StartHost(ctx, index); err != nil {
			return err
		}
	}
	return deployment.AwaitReady(ctx)
}

// NewWithoutHosts starts the searchers and the platform with its configuration, but no host.
func NewWithoutHosts(options Options) (*Deployment, error) {
	deployment := &Deployment{options: options}
	if err := deployment.startUpstreams(); err != nil {
		return nil, errors.Join(err, deployment.Close())
	}
	return deployment, nil
}

// PlatformAddress returns the IP address and port of the platform.
func (deployment *Deployment) PlatformAddress() string { return deployment.platformServer.Address() }

func (deployment *Deployment) startUpstreams() error {
	clock := timer.New()
	deployment.Platform = standin.NewPlatform(standin.PlatformOptions{Timer: clock, Latency: 2 * time.Millisecond})
	var err error
	if deployment.platformServer, err = standin.ServePlatform(deployment.Platform, freePort); err != nil {
		return err
	}
	if err := deployment.startSearchers(); err != nil {
		return err
	}
	return deployment.Publish(Objects(&deployment.config))
}

// startSearchers starts the searchers of both services and adds them to the configuration.
func (deployment *Deployment) startSearchers() error {
	deployment.config.Services = []carobthread.Service{
		{
			Name: Matching, Kind: carobthread.KindSearch, Preference: carobthread.LatencyFirst,
			SoftDeadline: 80 * time.Millisecond, HardDeadline: 160 * time.Millisecond, CoverageFloor: 0.8,
			HedgeQuantile: 0.95, ExtraAttemptRatio: 0.05, MaxInFlight: 1000, MaxRequestSize: 64 << 10, MaxReplySize: 1 << 20, Layout: 1,
		},
		{
			Name: Bookings, Kind: carobthread.KindExecute, Preference: carobthread.CoverageFirst,
			SoftDeadline: time.Second, HardDeadline: 2 * time.Second, CoverageFloor: 1,
			HedgeQuantile: 0.95, ExtraAttemptRatio: 0.05, MaxInFlight: 1000, MaxRequestSize: 64 << 10, MaxReplySize: 1 << 20, Layout: 1,
		},
	}
	matching := carobthread.Layout{Service: Matching, Generation: 1}
	for shard := range Shards {
		searchers, names, err := deployment.startReplicas(fmt.Sprintf("matching-%02d", shard), Replicas)
		if err != nil {
			return err
		}
		deployment.Matching = append(deployment.Matching, searchers)
		matching.Shards = append(matching.Shards, names)
	}
	searchers, names, err := deployment.startReplicas(Bookings, BookingSearchers)
	if err != nil {
		return err
	}
	deployment.Bookings = searchers
	deployment.config.Layouts = []carobthread.Layout{
		{Service: Bookings, Generation: 1, Shards: [][]string{names}},
		matching,
	}
	return nil
}

// startReplicas starts searchers, distributed round-robin over the data centres.
func (deployment *Deployment) startReplicas(prefix string, count int) (searchers []*standin.Searcher, names []string, err error) {
	centres := DataCentres()
	for replica := range count {
		name := fmt.Sprintf("%s-%d", prefix, replica)
		searcher, err := standin.NewSearcher(standin.SearcherOptions{
			Name:        name,
			Slots:       slots,
			ServiceTime: serviceTime,
			Seed:        uint64(len(deployment.config.Searchers)),
			Snapshots:   []uint64{OldSnapshot},
			Layouts:     []uint32{1},
		})
		if err != nil {
			return nil, nil, err
		}
		searchers = append(searchers, searcher)
		names = append(names, name)
		deployment.config.Searchers = append(deployment.config.Searchers, carobthread.Searcher{
			Name:        name,
			Address:     searcher.Address(),
			DataCentre:  centres[replica%len(centres)],
			Slots:       slots,
			Connections: connections,
		})
	}
	return searchers, names, nil
}

// Objects returns the objects of a configuration, without ticket numbers.
func Objects(config *carobthread.Config) []carobthread.Object {
	objects := []carobthread.Object{}
	for i := range config.Layouts {
		layout := &config.Layouts[i]
		objects = append(objects, carobthread.Object{ID: parser.LayoutID(layout.Service, layout.Generation), Layout: layout})
	}
	for i := range config.Searchers {
		searcher := &config.Searchers[i]
		objects = append(objects, carobthread.Object{ID: parser.SearcherID(searcher.Name), Searcher: searcher})
	}
	for i := range config.Services {
		service := &config.Services[i]
		objects = append(objects, carobthread.Object{ID: parser.ServiceID(service.Name), Service: service})
	}
	return objects
}

// Publish publishes the objects as the next ticket.
func (deployment *Deployment) Publish(objects []carobthread.Object) error {
	deployment.ticket++
	for i := range objects {
		objects[i].Ticket = deployment.ticket
	}
	return deployment.Platform.Publish(&carobthread.Ticket{Number: deployment.ticket, Objects: objects})
}

// Ticket returns the number of the last published ticket.
func (deployment *Deployment) Ticket() uint64 { return deployment.ticket }

// StartHost starts the entry host with that index, or restarts a stopped one with a new incarnation.
func (deployment *Deployment) StartHost(ctx context.Context, index int) error {
	name := fmt.Sprintf("entry-%d", index+1)
	settings := parser.DefaultSettings()
	settings.Host = carobthread.HostSettings{
		Name:            name,
		DataCentre:      hostDataCentres()[index],
		CallerAddress:   freePort,
		PeerAddress:     freePort,
		OperatorAddress: freePort,
	}
	settings.Platform.Address = deployment.platformServer.Address()
	settings.Stop.Grace = deployment.options.Grace
	if deployment.options.TraceDirectory != "" {
		settings.Trace.Events = filepath.Join(deployment.options.TraceDirectory, name+".jsonl")
		settings.Trace.Spans = filepath.Join(deployment.options.TraceDirectory, name+".spans")
	}
	for _, other := range deployment.Hosts {
		settings.Peers.Addresses = append(settings.Peers.Addresses, carobthread.SeedPeer{Address: other.Runner.PeerAddress()})
	}
	entry, err := runner.New(ctx, runner.Options{Settings: settings, Logger: deployment.options.Logger, Seed: uint64(index)})
	if err != nil {
		return err
	}
	deployment.Platform.SetHost(carobthread.Host{
		Name:        name,
		DataCentre:  settings.Host.DataCentre,
		PeerAddress: entry.PeerAddress(),
		State:       carobthread.HostLive,
	})
	hostContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	host := &Host{
		Runner:    entry,
		Client:    carobthreadv1connect.NewQueryServiceClient(&http.Client{Transport: transport}, "http://"+entry.CallerAddress()),
		transport: transport,
		cancel:    cancel,
		stopped:   make(chan error, 1),
	}
	go func() { host.stopped <- entry.Run(hostContext, nil) }()
	if index < len(deployment.Hosts) {
		deployment.Hosts[index] = host
	} else {
		deployment.Hosts = append(deployment.Hosts, host)
	}
	return nil
}

// Stop stops the host gracefully and returns the error of its Run.
func (host *Host) Stop() error {
	host.cancel()
	err := <-host.stopped
	host.transport.CloseIdleConnections()
	return err
}

// AwaitReady waits until every host accepts queries.
func (deployment *Deployment) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return await(ctx, func() bool {
		for _, host := range deployment.Hosts {
			if !host.Runner.Ready() {
				return false
			}
		}
		return true
	})
}

// await polls until done returns true or the context ends.
func await(ctx context.Context, done func() bool) error {
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for !done() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for the hosts to be ready: %w", ctx.Err())
		}
	}
	return nil
}

// Close stops the hosts gracefully, then the searchers and the platform.
func (deployment *Deployment) Close() error {
	var err error
	for _, host := range deployment.Hosts {
		host.cancel()
	}
	for _, host := range deployment.Hosts {
		err = errors.Join(err, host.Stop())
	}
	for _, replicas := range append(deployment.Matching, deployment.Bookings) {
		for _, searcher := range replicas {
			_ = searcher.Close()
		}
	}
	if deployment.platformServer != nil {
		_ = deployment.platformServer.Close()
	}
	return err
}
