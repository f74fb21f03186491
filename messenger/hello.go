package messenger

import (
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
)

// protocolVersion changes when a message changes in a way that an older host would misread.
const protocolVersion = 1

const methodHello = "hello"

// hello is the first message of each end of a link.
type hello struct {
	Version     int                     `json:"version"`
	Name        string                  `json:"name"`
	DataCentre  string                  `json:"data-centre"`
	Incarnation carobthread.Incarnation `json:"incarnation"`
}

func (messenger *Messenger) ownHello() hello {
	self := messenger.options.Self
	return hello{Version: protocolVersion, Name: self.Name, DataCentre: self.DataCentre, Incarnation: self.Incarnation}
}

// admit checks what the other end states against the known hosts.
func (messenger *Messenger) admit(stated hello) error {
	if stated.Version != protocolVersion {
		return fmt.Errorf("host %q speaks protocol version %d, expected %d", stated.Name, stated.Version, protocolVersion)
	}
	messenger.mutex.Lock()
	known, found := messenger.hosts[stated.Name]
	messenger.mutex.Unlock()
	switch {
	case messenger.options.Open:
		return nil
	case !found || known.Name == "":
		return fmt.Errorf("host %q is not in the view", stated.Name)
	case known.DataCentre != stated.DataCentre:
		return fmt.Errorf("host %q states data centre %q, expected %q", stated.Name, stated.DataCentre, known.DataCentre)
	case stated.Incarnation.Less(known.Incarnation):
		return fmt.Errorf("host %q states an incarnation that a later one has replaced", stated.Name)
	}
	return nil
}

// admitDialled checks that the dialled address belongs to the expected host.
func (messenger *Messenger) admitDialled(expected string, stated hello) error {
	messenger.mutex.Lock()
	known := messenger.hosts[expected]
	messenger.mutex.Unlock()
	if known.Name == "" && stated.Version == protocolVersion {
		return nil // the settings give only the address
	}
	if stated.Name != expected {
		return fmt.Errorf("dialled host %q and reached %q", expected, stated.Name)
	}
	return messenger.admit(stated)
}

// EncodeHello returns the frames that open a link between two hosts.
func EncodeHello(from, to carobthread.Host) (request, reply []byte, err error) {
	open := &jsonrpc2.Request{Method: methodHello}
	if err := open.SetParams((&Messenger{options: Options{Self: from}}).ownHello()); err != nil {
		return nil, nil, err
	}
	if request, err = encodeFrame(open); err != nil {
		return nil, nil, err
	}
	reply, err = EncodeReply(0, (&Messenger{options: Options{Self: to}}).ownHello())
	return request, reply, err
}

func decodeHello(params *json.RawMessage) (hello, error) {
	var stated hello
	if params == nil {
		return stated, fmt.Errorf("hello without params")
	}
	err := json.Unmarshal(*params, &stated)
	return stated, err
}
