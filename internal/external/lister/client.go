package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"samphirewharf/internal/network/sender"
)

const (
	defaultTimeout = 2 * time.Second
	// maxListBytes bounds the size of one response.
	maxListBytes = 16 << 20
)

// A Client reads the host list. Only Address must be set.
type Client struct {
	// Address is the IP and port of the host list.
	Address string
	// Timeout bounds each call; zero means two seconds.
	Timeout time.Duration

	sender sender.Sender
}

// A hostList is the response of GET /v1/hosts.
type hostList struct {
	Hosts []Host
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// List returns the hosts of a service and the list's entity tag. If the list still has the given tag, unchanged is
// true and hosts is nil. With an empty tag, List always returns the hosts.
func (c *Client) List(ctx context.Context, service, etag string) (hosts []Host, newETag string, unchanged bool, err error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := "http://" + c.Address + "/v1/hosts?Service=" + url.QueryEscape(service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, "", false, fmt.Errorf("list hosts of %s: %w", service, err)
	}
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	response, err := c.sender.Do(r)
	if err != nil {
		return nil, "", false, fmt.Errorf("list hosts of %s: %w", service, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readList(response, service, etag)
}

func readList(response *http.Response, service, etag string) (hosts []Host, newETag string, unchanged bool, err error) {
	switch response.StatusCode {
	case http.StatusNotModified:
		return nil, etag, true, nil
	case http.StatusOK:
	default:
		return nil, "", false, fmt.Errorf("list hosts of %s: status %d", service, response.StatusCode)
	}
	body := io.LimitReader(response.Body, maxListBytes)
	var list hostList
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, "", false, fmt.Errorf("list hosts of %s: %w", service, err)
	}
	// Reading to the end lets the connection be reused.
	_, _ = io.Copy(io.Discard, body)
	return list.Hosts, response.Header.Get("ETag"), false, nil
}
