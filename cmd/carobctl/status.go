package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// statusTimeout bounds the whole status request, for a host that does not answer.
const statusTimeout = 5 * time.Second

// maxStatusSize is the maximum number of bytes that are read of a status page.
const maxStatusSize = 8 << 20

type statusCommand struct {
	Host string `long:"host" required:"true" description:"operator address of an entry host, IP:PORT"`
	JSON bool   `long:"json" description:"print the status as one JSON line"`
}

// Execute prints what a host reports about its configuration, its membership and its work.
func (command *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+command.Host+"/status", nil)
	if err != nil {
		return &usageError{cause: fmt.Errorf("status: %w", err)}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStatusSize))
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status: host %s answered %s", command.Host, response.Status)
	}
	return command.print(content)
}

func (command *statusCommand) print(content []byte) error {
	formatted := new(bytes.Buffer)
	format := json.Compact
	if !command.JSON {
		format = func(target *bytes.Buffer, source []byte) error { return json.Indent(target, source, "", "  ") }
	}
	if err := format(formatted, content); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	_, err := fmt.Fprintln(os.Stdout, formatted.String())
	return err
}
