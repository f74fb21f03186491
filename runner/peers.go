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

// Rate limit of one host's calls to the platform: 18 hosts that read in 9 data centres stay below half of the platform's
// 2,000 calls a second, and the burst reads the whole state of a small site at once.
const (
	platformRate  = 50
	platformBurst = 100
)

// peerRouter passes each request of a peer to the component that serves its method.
type peerRouter struct {
	control        *server.Control
	execution      *server.Execution
	controlMethods []string
}

var _ carobthread.PeerHandler = (*peerRouter)(nil)

// Handle serves one request of a peer.
func (router *peerRouter) Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error) {
	if slices.Contains(router.controlMethods, method) {
		return router.control.Handle(ctx, peer, method, params)
	}
	return router.execution.Handle(ctx, peer, method, params)
}

// buildPeers builds the peer connections, the platform client, and the execution and control components, which serve the
// requests of peers.
func (host *Runner) buildPeers(self carobthread.Host, seed uint64) {
	router := &peerRouter{controlMethods: relayer.Methods()}
	seeds, contacts := seedHosts(host.settings.Peers.Addresses)
	host.messenger = messenger.New(messenger.Options{
		Self:       self,
		Seeds:      seeds,
		Handler:    router,
		Timer:      host.timer,
		Logger:     host.logger,
		RandomSeed: seed,
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
		State:        state,
		Timer:        host.timer,
		Peers:        host.messenger,
		Platform:     host.watcher,
		Logger:       host.logger,
		OnConfig:     host.configure,
		OnView:       host.setView,
		OnSuperseded: host.supersede,
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

// seedHosts returns the seeds as hosts to connect to and as contacts; the contact of a seed without a name is its address.
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

// supersede requests a stop; it is called while the control component holds its lock and must not block.
func (host *Runner) supersede() {
	select {
	case host.superseded <- struct{}{}:
	default:
	}
}
