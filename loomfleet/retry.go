package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// A request adds retryShare to its organisation's credit and a repeated attempt costs 100. retriesPerSecond
	// is credited as well, so that organisations with few requests can retry.
	retryShare       = 50
	retriesPerSecond = 20
	// maxRetryCredit bounds the unused credit: 64 attempts at once.
	maxRetryCredit = 6400
	// maxRetryCredits is the number of organisations above which unused credits are forgotten.
	maxRetryCredits = 1024
)

// retryCredit is what an organisation may spend on repeated attempts.
type retryCredit struct {
	credit    int
	updatedAt time.Duration
}

// retryCreditOf returns an organisation's credit at this time.
func (s *State) retryCreditOf(organisation currantloom.OrganisationName) *retryCredit {
	credits := s.requests.retryCredits
	c, ok := credits[organisation]
	if !ok {
		if len(credits) >= maxRetryCredits {
			clear(credits)
		}
		c = &retryCredit{credit: maxRetryCredit, updatedAt: s.now}
		credits[organisation] = c
	}
	const creditInterval = time.Second / (100 * retriesPerSecond)
	earned := (s.now - c.updatedAt) / creditInterval
	c.updatedAt += earned * creditInterval
	c.credit = min(maxRetryCredit, c.credit+int(min(earned, maxRetryCredit)))
	return c
}

// earnRetry credits an organisation with a new request.
func (s *State) earnRetry(organisation currantloom.OrganisationName) {
	c := s.retryCreditOf(organisation)
	c.credit = min(maxRetryCredit, c.credit+retryShare)
}

// takeRetry reports whether the request may be attempted again now, and charges its organisation. The first repeat of a
// request is free, so that all requests at an owner that dies move on at once, and so is the first attempt after a
// change of primary. An organisation's repeats are therefore at most 1.5 times its requests, plus retriesPerSecond.
func (s *State) takeRetry(r *request) bool {
	if r.attempt <= 1 || r.sentEpoch != r.group.epoch {
		return true
	}
	c := s.retryCreditOf(r.organisation)
	if c.credit < 100 {
		s.requests.refusals.record(r.organisation, 0, "repeated attempts")
		return false
	}
	c.credit -= 100
	return true
}
