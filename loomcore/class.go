package loomcore

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
)

const (
	// longThreshold is the run time above which work counts as long.
	longThreshold = time.Second
	// historySize bounds the statements whose run time a node remembers. A carrier serves about 4 databases with a few
	// hundred different statements.
	historySize = 1024
	// historyWeight is the part of a new run time in the moving average: one in historyWeight.
	historyWeight = 16
	// shortCost and longCost are the expected run times of statements without a history.
	shortCost = 10 * time.Millisecond
	longCost  = 5 * time.Second
	// fingerprintSize bounds the text of a fingerprint.
	fingerprintSize = 256
)

// history holds the moving average of the run times of recent statements. The zero value is empty.
type history struct {
	times map[statementKey]*statementTime
	// order holds the keys; hand points to the one that is considered next for replacement (second chance).
	order []statementKey
	hand  int
}

type statementKey struct {
	database    currantloom.DatabaseName
	fingerprint string
}

type statementTime struct {
	average time.Duration
	used    bool
}

// estimate returns the moving average of the statement's run time.
func (h *history) estimate(k statementKey) (time.Duration, bool) {
	t, ok := h.times[k]
	if !ok {
		return 0, false
	}
	t.used = true
	return t.average, true
}

// observe adds a run time to the moving average.
func (h *history) observe(k statementKey, d time.Duration) {
	if t, ok := h.times[k]; ok {
		t.average += (d - t.average) / historyWeight
		return
	}
	if h.times == nil {
		h.times = make(map[statementKey]*statementTime)
	}
	h.times[k] = &statementTime{average: d}
	if len(h.order) < historySize {
		h.order = append(h.order, k)
		return
	}
	for h.times[h.order[h.hand]].used {
		h.times[h.order[h.hand]].used = false
		h.hand = (h.hand + 1) % historySize
	}
	delete(h.times, h.order[h.hand])
	h.order[h.hand] = k
	h.hand = (h.hand + 1) % historySize
}

// fingerprint returns the statement in lower case with literals removed and white space collapsed, so that runs of one
// statement with different values share a history.
func fingerprint(statement string) string {
	var b strings.Builder
	space, word := false, false
	for i := 0; i < len(statement) && b.Len() < fingerprintSize; i++ {
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

// classify sets the class and the expected run time of work: by a rule, else by the statement's history, else by what
// the entry node states.
func (s *State) classify(w *work) {
	h := w.header
	w.statement = statementKey{h.Database, fingerprint(h.Statement)}
	average, known := s.carrier.history.estimate(w.statement)
	class, ruled := s.rules.rules.Class(h.Database, h.Statement)
	w.expected = ruled || known
	switch {
	case ruled:
		w.class = class
	case known && average > longThreshold:
		w.class = currantloom.LongRequest
	case known:
		w.class = currantloom.ShortRequest
	default:
		w.class = h.Class
	}
	switch {
	case known:
		w.cost = max(average, time.Millisecond)
	case w.class == currantloom.LongRequest:
		w.cost = longCost
	default:
		w.cost = shortCost
	}
}
