package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ProxyMode states what a Proxy does to the bytes of its connections.
type ProxyMode int

// The modes of a Proxy.
const (
	// ProxyPass passes everything on.
	ProxyPass ProxyMode = iota
	// ProxyDelay passes everything on after a while.
	ProxyDelay
	// ProxyReset resets each connection as soon as bytes come.
	ProxyReset
	// ProxySilent accepts connections and bytes and passes nothing on.
	ProxySilent
	// ProxyOneWay passes on what clients send and drops what comes back.
	ProxyOneWay
)

// Proxy is a loopback proxy that misbehaves as it is told; open connections follow a change of its mode.
type Proxy struct {
	listener net.Listener
	target   string
	pipes    sync.WaitGroup

	mutex  sync.Mutex
	mode   ProxyMode
	delay  time.Duration
	conns  map[net.Conn]bool
	closed bool
}

// NewProxy starts a proxy of a target address on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	proxy := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	proxy.pipes.Go(proxy.accept)
	return proxy, nil
}

// Address returns the IP address and port that clients use.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// Set changes the mode; the delay counts for ProxyDelay only.
func (proxy *Proxy) Set(mode ProxyMode, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode, proxy.delay = mode, delay
}

// Close ends the proxy and its connections.
func (proxy *Proxy) Close() error {
	proxy.mutex.Lock()
	proxy.closed = true
	for conn := range proxy.conns {
		_ = conn.Close()
	}
	proxy.mutex.Unlock()
	err := proxy.listener.Close()
	proxy.pipes.Wait()
	return err
}

func (proxy *Proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		far, err := new(net.Dialer).DialContext(context.Background(), "tcp", proxy.target)
		if err != nil {
			reset(near)
			continue
		}
		if !proxy.keep(near, far) {
			continue
		}
		proxy.pipes.Go(func() { proxy.pipe(near, far, false) })
		proxy.pipes.Go(func() { proxy.pipe(far, near, true) })
	}
}

func (proxy *Proxy) keep(conns ...net.Conn) bool {
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

// pipe passes bytes of one direction; back says that they come from the target.
func (proxy *Proxy) pipe(from, to net.Conn, back bool) {
	const bufferBytes = 16 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		proxy.mutex.Lock()
		mode, delay := proxy.mode, proxy.delay
		proxy.mutex.Unlock()
		switch {
		case mode == ProxyReset:
			reset(from)
			reset(to)
		case mode == ProxySilent, mode == ProxyOneWay && back:
			count = 0
		case mode == ProxyDelay:
			time.Sleep(delay)
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				err = errors.Join(err, failed)
			}
		}
		if err != nil {
			proxy.drop(from, to)
			return
		}
	}
}

func (proxy *Proxy) drop(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(proxy.conns, conn)
	}
}

// reset closes a connection so that its peer gets a reset.
func reset(conn net.Conn) {
	if tcp, able := conn.(*net.TCPConn); able {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
