package messenger

import (
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
)

// protocolVersion must be raised when a message changes in a way that an older host would misread.
const protocolVersion = 1

const methodHello = "hello"

// hello is the first message that each end of a link sends.
type hello struct {
	Version     int                     `json:"version"`
	Name        string                  `json:"name"`
	DataCentre  string                  `json:"data-centre"`
	Incarnation carobthread.Incarnation `json:"incarnation"`
}

func (messenger *Messenger) localHello() hello {
	self := messenger.options.Self
	return hello{Version: protocolVersion, Name: self.Name, DataCentre: self.DataCentre, Incarnation: self.Incarnation}
}

// admit checks the hello of the other end against the known hosts.
func (messenger *Messenger) admit(remote hello) error {
	if remote.Version != protocolVersion {
		return fmt.Errorf("host %q uses protocol version %d, expected %d", remote.Name, remote.Version, protocolVersion)
	}
	messenger.mutex.Lock()
	known, found := messenger.hosts[remote.Name]
	messenger.mutex.Unlock()
	switch {
	case messenger.options.AcceptUnknownHosts:
		return nil
	case !found || known.Name == "":
		return fmt.Errorf("host %q is not in the view", remote.Name)
	case known.DataCentre != remote.DataCentre:
		return fmt.Errorf("host %q claims data centre %q, expected %q", remote.Name, remote.DataCentre, known.DataCentre)
	case remote.Incarnation.Less(known.Incarnation):
		return fmt.Errorf("host %q has an incarnation that a later one has replaced", remote.Name)
	}
	return nil
}

// admitDialled checks that the dialled address belongs to the expected host.
func (messenger *Messenger) admitDialled(expected string, remote hello) error {
	messenger.mutex.Lock()
	known := messenger.hosts[expected]
	messenger.mutex.Unlock()
	if known.Name == "" && remote.Version == protocolVersion {
		return nil // the settings contain only the address
	}
	if remote.Name != expected {
		return fmt.Errorf("dialled host %q but reached %q", expected, remote.Name)
	}
	return messenger.admit(remote)
}

// EncodeHello returns the frames that open a link between two hosts.
func EncodeHello(from, to carobthread.Host) (request, reply []byte, err error) {
	helloRequest := &jsonrpc2.Request{Method: methodHello}
	if err := helloRequest.SetParams((&Messenger{options: Options{Self: from}}).localHello()); err != nil {
		return nil, nil, err
	}
	if request, err = encodeFrame(helloRequest); err != nil {
		return nil, nil, err
	}
	reply, err = EncodeReply(0, (&Messenger{options: Options{Self: to}}).localHello())
	return request, reply, err
}

func decodeHello(params *json.RawMessage) (hello, error) {
	var remote hello
	if params == nil {
		return remote, fmt.Errorf("hello without params")
	}
	err := json.Unmarshal(*params, &remote)
	return remote, err
}
