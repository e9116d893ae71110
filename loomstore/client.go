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
	// answerLimit is the time an answer may take beyond the wait time that was asked for.
	answerLimit = 2 * time.Second
	// maxAnswer bounds an answer: a value of 1 MB in base64, or a list of some thousand VMs.
	maxAnswer = 4 << 20
	// idleLimit closes unused connections before middleboxes drop them.
	idleLimit   = 30 * time.Second
	indexHeader = "X-Consul-Index"
)

// client makes calls to one address.
type client struct {
	address string
	http    http.Client
}

func newClient(address string) *client {
	dialer := net.Dialer{Timeout: answerLimit}
	return &client{address: address, http: http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: 2,
	}}}
}

// close closes idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// answer is an answer with a body that was read completely.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// call makes one call that ends within the limit. An error is an ErrUnavailable.
func (c *client) call(
	ctx context.Context, limit time.Duration, method, path string, query url.Values, body io.Reader,
) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return answer{}, currantloom.ErrInput.Wrap(err, "address of the platform %q", c.address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, currantloom.ErrUnavailable.Wrap(err, "platform at %s", c.address)
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	a.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return answer{}, currantloom.ErrUnavailable.Wrap(err, "answer of the platform at %s", c.address)
	}
	if len(a.body) > maxAnswer {
		return answer{}, currantloom.ErrUnavailable.New("answer of the platform at %s exceeds %d bytes", c.address, maxAnswer)
	}
	a.index, _ = strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return a, nil
}

// read makes a blocking read: it returns when the index passes after, or after the wait time. After 0 it does not wait.
func (c *client) read(ctx context.Context, path string, after uint64, wait time.Duration) (answer, error) {
	query := url.Values{}
	limit := answerLimit
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", wait.String())
		// Consul adds up to a sixteenth to the wait time.
		limit += wait + wait/16
	}
	a, err := c.call(ctx, limit, http.MethodGet, path, query, nil)
	if err == nil && a.status != http.StatusOK && a.status != http.StatusNotFound {
		return answer{}, currantloom.ErrUnavailable.New("platform at %s answered with status %d", c.address, a.status)
	}
	return a, err
}

func (c *client) decode(a answer, value any) error {
	if err := json.Unmarshal(a.body, value); err != nil {
		return currantloom.ErrUnavailable.Wrap(err, "answer of the platform at %s", c.address)
	}
	return nil
}
