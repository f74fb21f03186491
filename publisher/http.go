package publisher

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"carobthread"
	"carobthread/watcher"
)

// writeTimeout bounds one write to the platform.
const writeTimeout = 5 * time.Second

// callsPerSecond limits the tool's calls to a tenth of what the platform allows all readers together.
const callsPerSecond = 200

// Client reads and writes the platform over HTTP. It writes with PUT /v1/values/KEY, whose header If-Match holds the
// revision to replace.
type Client struct {
	*watcher.Watcher
	base   *url.URL
	client *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at http://IP:PORT.
func NewClient(timer carobthread.Timer, platform string) (*Client, error) {
	base, err := url.Parse(platform)
	if err != nil || base.Scheme != "http" || strings.Trim(base.Path, "/") != "" {
		return nil, fmt.Errorf("platform %q is not http://IP:PORT", platform)
	}
	if _, err := netip.ParseAddrPort(base.Host); err != nil {
		return nil, fmt.Errorf("platform %q is not http://IP:PORT", platform)
	}
	return &Client{
		Watcher: watcher.New(timer, watcher.Options{Address: base.Host, Rate: callsPerSecond, Burst: callsPerSecond}),
		base:    &url.URL{Scheme: base.Scheme, Host: base.Host},
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: writeTimeout},
	}, nil
}

// Replace writes a value within 5 s. It does not retry: submitting the ticket again detects and repeats a lost write.
func (client *Client) Replace(ctx context.Context, key string, revision uint64, content []byte) error {
	target := client.base.JoinPath("v1", "values", key)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target.String(), bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	request.Header.Set("If-Match", strconv.FormatUint(revision, 10))
	response, err := client.client.Do(request)
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent, http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("write %s: %w", key, ErrRevisionConflict)
	default:
		return fmt.Errorf("write %s: platform answered %s", key, response.Status)
	}
}
