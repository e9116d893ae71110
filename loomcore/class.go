package loomcore

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
)

const (
	// longThreshold is the run time above which a request counts as long.
	longThreshold = time.Second
	// maxHistorySize bounds the number of statements whose run times a node keeps. An owner serves about 4 databases with
	// a few hundred different statements.
	maxHistorySize = 1024
	// A new run time changes the moving average by 1/runTimeSmoothing of the difference.
	runTimeSmoothing = 16
	// defaultShortCost and defaultLongCost are the expected run times of statements that have no moving average.
	defaultShortCost = 10 * time.Millisecond
	defaultLongCost  = 5 * time.Second
	// maxFingerprintSize bounds the length of a fingerprint in bytes.
	maxFingerprintSize = 256
)

// runTimeHistory holds the moving average of the run times of recent statements. The zero value is empty.
type runTimeHistory struct {
	statements map[statementKey]*statementRunTime
	// order holds the keys. clockHand is the index of the next candidate for replacement by the clock algorithm.
	order     []statementKey
	clockHand int
}

type statementKey struct {
	database    currantloom.DatabaseName
	fingerprint string
}

type statementRunTime struct {
	average    time.Duration
	referenced bool
}

// estimate returns the moving average of the statement's run time, if there is one.
func (h *runTimeHistory) estimate(k statementKey) (time.Duration, bool) {
	t, ok := h.statements[k]
	if !ok {
		return 0, false
	}
	t.referenced = true
	return t.average, true
}

// observe adds a run time to the moving average.
func (h *runTimeHistory) observe(k statementKey, d time.Duration) {
	if t, ok := h.statements[k]; ok {
		t.average += (d - t.average) / runTimeSmoothing
		return
	}
	if h.statements == nil {
		h.statements = make(map[statementKey]*statementRunTime)
	}
	h.statements[k] = &statementRunTime{average: d}
	if len(h.order) < maxHistorySize {
		h.order = append(h.order, k)
		return
	}
	for h.statements[h.order[h.clockHand]].referenced {
		h.statements[h.order[h.clockHand]].referenced = false
		h.clockHand = (h.clockHand + 1) % maxHistorySize
	}
	delete(h.statements, h.order[h.clockHand])
	h.order[h.clockHand] = k
	h.clockHand = (h.clockHand + 1) % maxHistorySize
}

// fingerprint returns the statement in lower case, with literals replaced and white space collapsed, so that runs of
// one statement with different values share a moving average.
func fingerprint(statement string) string {
	var b strings.Builder
	space, word := false, false
	for i := 0; i < len(statement) && b.Len() < maxFingerprintSize; i++ {
		c := statement[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			space, word = b.Len() > 0, false
			continue
		case c == '\'':
			i = endOfString(statement, i)
			c = '?'
		case !word && (isDigit(c) || c == '$'):
			i = endOfNumber(statement, i)
			c = '?'
		case c >= 'A' && c <= 'Z':
			c += 'a' - 'A'
		}
		if space {
			b.WriteByte(' ')
			space = false
		}
		b.WriteByte(c)
		word = c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 0x80
	}
	return b.String()
}

// endOfString returns the index of the quote that ends the string literal at start.
func endOfString(text string, start int) int {
	for i := start + 1; i < len(text); i++ {
		if text[i] != '\'' {
			continue
		}
		if i+1 < len(text) && text[i+1] == '\'' {
			i++
			continue
		}
		return i
	}
	return len(text)
}

// endOfNumber returns the index of the last character of the number or parameter at start.
func endOfNumber(text string, start int) int {
	i := start
	for i+1 < len(text) && (isDigit(text[i+1]) || text[i+1] == '.') {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// classify sets the class and the expected run time of an attempt. The class comes from a rule, else from the run times
// of the statement, else from the entry node.
func (s *State) classify(a *attempt) {
	h := a.header
	a.statement = statementKey{h.Database, fingerprint(h.Statement)}
	average, known := s.owner.runTimes.estimate(a.statement)
	class, ruled := s.rules.rules.Class(h.Database, h.Statement)
	a.classKnown = ruled || known
	switch {
	case ruled:
		a.class = class
	case known && average > longThreshold:
		a.class = currantloom.LongRequest
	case known:
		a.class = currantloom.ShortRequest
	default:
		a.class = h.Class
	}
	switch {
	case known:
		a.cost = max(average, time.Millisecond)
	case a.class == currantloom.LongRequest:
		a.cost = defaultLongCost
	default:
		a.cost = defaultShortCost
	}
}
