package loomstore

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"currantloom.example/currantloom"
)

const (
	// responseTimeout bounds the time for a response beyond the requested wait time.
	responseTimeout = 2 * time.Second
	// maxResponseSize bounds a response: a value of 1 MB in base64, or a list of some thousand VMs.
	maxResponseSize = 4 << 20
	// idleTimeout is short enough to close idle connections before middleboxes drop them.
	idleTimeout = 30 * time.Second
	indexHeader = "X-Consul-Index"
)

// client calls the platform's HTTP API at one address.
type client struct {
	address string
	http    http.Client
}

func newClient(address string) *client {
	dialer := net.Dialer{Timeout: responseTimeout}
	return &client{address: address, http: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2,
	}}}
}

// close closes idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// platformResponse is a response whose body was read completely. index is the value of the header X-Consul-Index.
type platformResponse struct {
	status int
	index  uint64
	body   []byte
}

// call makes one call that ends within the timeout. The error is an ErrUnavailable, or an ErrInput if the address is
// not valid in a URL.
func (c *client) call(
	ctx context.Context, timeout time.Duration, method, path string, query url.Values, body io.Reader,
) (platformResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, requestURL.String(), body)
	if err != nil {
		return platformResponse{}, currantloom.ErrInput.Wrap(err, "address of the platform %q", c.address)
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return platformResponse{}, currantloom.ErrUnavailable.Wrap(err, "platform at %s", c.address)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := platformResponse{status: httpResponse.StatusCode}
	response.body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseSize+1))
	if err != nil {
		return platformResponse{}, currantloom.ErrUnavailable.Wrap(err, "answer of the platform at %s", c.address)
	}
	if len(response.body) > maxResponseSize {
		return platformResponse{}, currantloom.ErrUnavailable.New(
			"answer of the platform at %s exceeds %d bytes", c.address, maxResponseSize)
	}
	response.index, _ = strconv.ParseUint(httpResponse.Header.Get(indexHeader), 10, 64)
	return response, nil
}

// read makes a blocking query: it returns when the index exceeds after, or when the wait time has passed. If after is 0
// it does not wait. Statuses other than 200 and 404 are errors.
func (c *client) read(ctx context.Context, path string, after uint64, wait time.Duration) (platformResponse, error) {
	query := url.Values{}
	timeout := responseTimeout
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", wait.String())
		// Consul adds a random time of up to a sixteenth of the wait time.
		timeout += wait + wait/16
	}
	response, err := c.call(ctx, timeout, http.MethodGet, path, query, nil)
	if err == nil && response.status != http.StatusOK && response.status != http.StatusNotFound {
		return platformResponse{}, currantloom.ErrUnavailable.New(
			"platform at %s answered with status %d", c.address, response.status)
	}
	return response, err
}

func (c *client) decode(response platformResponse, value any) error {
	if err := json.Unmarshal(response.body, value); err != nil {
		return currantloom.ErrUnavailable.Wrap(err, "answer of the platform at %s", c.address)
	}
	return nil
}
