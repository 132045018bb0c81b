package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"yuccalanding.example/yuccalanding/internal/cell"
	"yuccalanding.example/yuccalanding/internal/operator"
	"yuccalanding.example/yuccalanding/internal/policy"
)

// configure applies an example configuration through the operator interface of
// the first node and waits until it is in force on all nodes. It returns a
// description of the configuration in force. If the nodes have no such interface
// they keep their defaults, which is not an error.
func configure(ctx context.Context, c *cell.Cell, examples, folder string) (string, error) {
	const defaults = "the nodes' defaults: every team and kind has the same share, and none has a guarantee"
	if examples == "" || folder == "" {
		return defaults, nil
	}
	files, err := policy.ReadFolder(filepath.Join(examples, folder))
	if err != nil {
		return "", err
	}
	change := operator.ApplyRequest{Reason: "demo"}
	for _, file := range files {
		change.Files = append(change.Files, operator.File{Name: file.Name, Content: file.Text})
	}
	status, answer, err := apply(ctx, c, change)
	switch {
	case err != nil:
		return "", err
	case status == http.StatusNotFound:
		return defaults + " (this version's nodes have no /config/apply)", nil
	case status/100 != 2:
		return "", fmt.Errorf("apply the configuration: status %d: %s", status, answer)
	}
	if err := awaitConfiguration(ctx, c); err != nil {
		return "", err
	}
	return filepath.ToSlash(filepath.Join(examples, folder)), nil
}

// apply sends a configuration to the first node and returns the HTTP status and
// the body of the answer.
func apply(ctx context.Context, c *cell.Cell, change operator.ApplyRequest) (int, []byte, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.OperatorAddress(0).String()+"/config/apply", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	const maxAnswerBytes = 1 << 20
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, err
}

// awaitConfiguration waits until a configuration is in force on every node, or
// until ctx ends.
func awaitConfiguration(ctx context.Context, c *cell.Cell) error {
	for {
		pending := 0
		for i := range c.Nodes {
			dump, err := c.Dump(ctx, i)
			if err != nil {
				return err
			}
			if dump.PolicyVersion == 0 {
				pending++
			}
		}
		if pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d nodes have no configuration in force: %w", pending, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
