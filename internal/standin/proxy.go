package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"
)

// ProxyMode selects how a Proxy handles the bytes of its connections.
type ProxyMode int

// The modes of a Proxy.
const (
	// ProxyPass forwards everything.
	ProxyPass ProxyMode = iota
	// ProxyDelay forwards everything after a delay.
	ProxyDelay
	// ProxyReset resets each connection when it receives bytes.
	ProxyReset
	// ProxySilent accepts connections and bytes and forwards nothing.
	ProxySilent
	// ProxyOneWay forwards what clients send and drops the responses.
	ProxyOneWay
)

// Proxy is a loopback proxy that injects network faults. A change of its mode also applies to open connections.
type Proxy struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mutex sync.Mutex
	mode  ProxyMode
	delay time.Duration
	conns map[net.Conn]bool
	// silenced holds the connections that SilenceOpen has silenced.
	silenced map[net.Conn]bool
	closed   bool
}

// NewProxy starts a proxy to a target address on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	proxy := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}, silenced: map[net.Conn]bool{}}
	proxy.goroutines.Go(proxy.accept)
	return proxy, nil
}

// Address returns the IP address and port that clients connect to.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// Set changes the mode; the delay applies to ProxyDelay only.
func (proxy *Proxy) Set(mode ProxyMode, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode, proxy.delay = mode, delay
}

// SilenceOpen makes the connections that are open now silent for good: they stay open and forward nothing. New connections
// are not affected.
func (proxy *Proxy) SilenceOpen() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	maps.Copy(proxy.silenced, proxy.conns)
}

// Close stops the proxy and closes its connections.
func (proxy *Proxy) Close() error {
	proxy.mutex.Lock()
	proxy.closed = true
	for conn := range proxy.conns {
		_ = conn.Close()
	}
	proxy.mutex.Unlock()
	err := proxy.listener.Close()
	proxy.goroutines.Wait()
	return err
}

func (proxy *Proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := new(net.Dialer).DialContext(context.Background(), "tcp", proxy.target)
		if err != nil {
			reset(client)
			continue
		}
		if !proxy.track(client, upstream) {
			continue
		}
		proxy.goroutines.Go(func() { proxy.forward(client, upstream, false) })
		proxy.goroutines.Go(func() { proxy.forward(upstream, client, true) })
	}
}

// track registers connections for Close. If the proxy is closed, it closes them and returns false.
func (proxy *Proxy) track(conns ...net.Conn) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		if proxy.closed {
			_ = conn.Close()
		}
		proxy.conns[conn] = true
	}
	return !proxy.closed
}

// forward copies the bytes of one direction; fromTarget is set if they come from the target.
func (proxy *Proxy) forward(from, to net.Conn, fromTarget bool) {
	const bufferBytes = 16 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		proxy.mutex.Lock()
		mode, delay := proxy.mode, proxy.delay
		if proxy.silenced[from] {
			mode = ProxySilent
		}
		proxy.mutex.Unlock()
		switch {
		case mode == ProxyReset:
			reset(from)
			reset(to)
		case mode == ProxySilent, mode == ProxyOneWay && fromTarget:
			count = 0
		case mode == ProxyDelay:
			time.Sleep(delay)
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		if err != nil {
			proxy.closeConns(from, to)
			return
		}
	}
}

// closeConns closes connections and stops tracking them.
func (proxy *Proxy) closeConns(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(proxy.conns, conn)
		delete(proxy.silenced, conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
