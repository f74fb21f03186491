package runner

import (
	"context"
	"encoding/json"
	"slices"

	"carobthread"
	"carobthread/applier"
	"carobthread/messenger"
	"carobthread/parser"
	"carobthread/relayer"
	"carobthread/server"
	"carobthread/watcher"
)

// Bounds of one host's calls to the platform: 18 readers in 9 data centres stay at half of its 2,000 calls a second,
// and a small site's whole state is read at once.
const (
	platformRate  = 50
	platformBurst = 100
)

// peerRouter hands the requests of peers to the part that serves their method.
type peerRouter struct {
	control   *server.Control
	execution *server.Execution
	methods   []string
}

var _ carobthread.PeerHandler = (*peerRouter)(nil)

// Handle serves one request of a peer.
func (router *peerRouter) Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error) {
	if slices.Contains(router.methods, method) {
		return router.control.Handle(ctx, peer, method, params)
	}
	return router.execution.Handle(ctx, peer, method, params)
}

// buildPeers builds the peer links, the propagation of configuration and the client of the platform.
func (host *Runner) buildPeers(self carobthread.Host, seed uint64) {
	router := &peerRouter{methods: relayer.Methods()}
	seeds, contacts := seedHosts(host.settings.Peers.Addresses)
	host.messenger = messenger.New(messenger.Options{
		Self:    self,
		Seeds:   seeds,
		Handler: router,
		Timer:   host.timer,
		Logger:  host.logger,
		Seed:    seed,
	})
	state := applier.New(applier.Options{})
	host.watcher = watcher.New(host.timer, watcher.Options{
		Address: host.settings.Platform.Address,
		Rate:    platformRate,
		Burst:   platformBurst,
	})
	host.execution = host.newExecution(self, seed)
	host.control = server.NewControl(server.ControlOptions{
		Self: self,
		Relayer: relayer.New(relayer.Options{
			Self:        self,
			Contacts:    contacts,
			State:       state,
			DecodeHosts: decodeHosts,
			Seed:        seed,
		}, host.timer.Now()),
		State:      state,
		Timer:      host.timer,
		Peers:      host.messenger,
		Platform:   host.watcher,
		Logger:     host.logger,
		Configured: host.configure,
		Viewed:     host.setView,
		Superseded: host.supersede,
	})
	router.control = host.control
	router.execution = host.execution
}

func decodeHosts(content []byte) ([]carobthread.Host, error) {
	hosts, findings := parser.DecodeHosts(parser.HostsKey, content)
	if len(findings) > 0 {
		return nil, findings
	}
	return hosts, nil
}

// seedHosts returns the seeds as hosts to link with and the names to call them by; a seed without a name is called by its address.
func seedHosts(peers []carobthread.SeedPeer) (seeds []carobthread.Host, contacts []string) {
	for _, peer := range peers {
		seeds = append(seeds, carobthread.Host{Name: peer.Name, PeerAddress: peer.Address})
		contact := peer.Name
		if contact == "" {
			contact = peer.Address
		}
		contacts = append(contacts, contact)
	}
	return seeds, contacts
}

func (host *Runner) configure(config carobthread.Config) {
	host.search.Configure(config)
	host.execution.Configure(config)
	host.ready.Store(true)
}

func (host *Runner) setView(view carobthread.View) {
	host.messenger.SetHosts(view)
	host.search.SetView(view)
	host.execution.SetView(view)
}

// supersede asks for a stop; it is called with the control part locked and must not block.
func (host *Runner) supersede() {
	select {
	case host.superseded <- struct{}{}:
	default:
	}
}
