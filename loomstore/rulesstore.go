package loomstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"currantloom.example/currantloom"
)

const (
	// rulesKey is the key whose value holds the accepted rules.
	rulesKey = "currantloom/rules"
	// maxValueSize is the size limit of a value in the platform's store.
	maxValueSize = 1 << 20
	// rulesWaitTime is short because the failure of a connection that no longer delivers data is noticed only after the
	// wait time, and an accepted rule must be in effect within 7 s.
	rulesWaitTime = 4 * time.Second
	// changeTimeout bounds a change.
	changeTimeout = 5 * time.Second
)

// RulesStore implements currantloom.RulesStore.
type RulesStore struct {
	client   *client
	waitTime time.Duration

	mu sync.Mutex
	// absentIndex is the index of the last response if it said that there are no rules, and zero otherwise. It lets a read
	// after index 0 wait while no rules are stored.
	absentIndex uint64
}

// NewRulesStore returns the rules store of the platform at the address ("IP:port").
func NewRulesStore(address string) *RulesStore {
	return &RulesStore{client: newClient(address), waitTime: rulesWaitTime}
}

// Close closes idle connections.
func (s *RulesStore) Close() error {
	s.client.close()
	return nil
}

// rulesValue is the JSON value of rulesKey.
type rulesValue struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Text     string `json:"text"`
}

// kvEntry is an element of a response of the key-value API.
type kvEntry struct {
	Value       []byte `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// Rules returns the rules as soon as their index differs from after, or unchanged after the wait time. A call with
// index 0 does not wait, unless the last response said that there are no rules.
func (s *RulesStore) Rules(ctx context.Context, after uint64) (currantloom.RulesDocument, uint64, error) {
	if after == 0 {
		s.mu.Lock()
		after = s.absentIndex
		s.mu.Unlock()
	}
	response, err := s.client.read(ctx, "/v1/kv/"+rulesKey, after, s.waitTime)
	if err != nil {
		return currantloom.RulesDocument{}, 0, err
	}
	if response.status == http.StatusNotFound {
		s.setAbsentIndex(response.index)
		return currantloom.RulesDocument{}, 0, nil
	}
	s.setAbsentIndex(0)
	var values []kvEntry
	if err := s.client.decode(response, &values); err != nil {
		return currantloom.RulesDocument{}, 0, err
	}
	if len(values) != 1 {
		return currantloom.RulesDocument{}, 0, currantloom.ErrUnavailable.New("store returned %d values, want 1", len(values))
	}
	var stored rulesValue
	if err := json.Unmarshal(values[0].Value, &stored); err != nil {
		return currantloom.RulesDocument{}, 0, currantloom.ErrInput.Wrap(err, "value of key %s", rulesKey)
	}
	document := currantloom.NewRulesDocument(currantloom.RulesRevision(stored.Revision), stored.ChangeID, stored.Text)
	return document, values[0].ModifyIndex, nil
}

func (s *RulesStore) setAbsentIndex(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.absentIndex = index
}

// ReplaceRules stores the document if the index of the stored one is still the given one. Index 0 means that none is
// stored.
func (s *RulesStore) ReplaceRules(ctx context.Context, index uint64, document currantloom.RulesDocument) error {
	value, err := json.Marshal(rulesValue{
		Revision: uint64(document.Revision()), ChangeID: document.ChangeID(), Text: document.Text(),
	})
	if err != nil {
		return currantloom.ErrInput.Wrap(err, "encode rules")
	}
	if len(value) > maxValueSize {
		return currantloom.ErrInput.New("rules take %d bytes in the store, the limit is %d", len(value), maxValueSize)
	}
	// If the reply is lost, the next read shows whether the change took effect, so that read must not wait.
	s.setAbsentIndex(0)
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	response, err := s.client.call(ctx, changeTimeout, http.MethodPut, "/v1/kv/"+rulesKey, query, bytes.NewReader(value))
	if err != nil {
		return err
	}
	switch body := string(bytes.TrimSpace(response.body)); {
	case response.status == http.StatusOK && body == "true":
		return nil
	case response.status == http.StatusOK && body == "false":
		return currantloom.ErrConflict.New("rules in the store are no longer at index %d", index)
	case response.status == http.StatusRequestEntityTooLarge || response.status == http.StatusBadRequest:
		return currantloom.ErrInput.New("store refused the rules: %s", body)
	default:
		return currantloom.ErrUnavailable.New("store answered with status %d: %q", response.status, body)
	}
}
