package loomentry

import (
	"strings"

	"currantloom.example/currantloom"
)

// boundary says how a statement changes the session's transaction.
type boundary uint8

const (
	boundaryNone boundary = iota
	boundaryBegin
	boundaryEnd
	// boundaryRestart ends a transaction and begins another (COMMIT AND CHAIN).
	boundaryRestart
	// boundarySavepoint returns to a savepoint, which ends the failed state of a transaction.
	boundarySavepoint
)

// class is what the text of one statement says about it.
type class struct {
	kind     currantloom.RequestKind
	boundary boundary
	// readOnly says that a BEGIN starts a read-only transaction.
	readOnly bool
	// inTransaction says that the statement is refused outside a transaction.
	inTransaction bool
	// local is set for statements that the session answers itself.
	local *localStatement
	// refusal is the reason why the statement is refused, empty if it is not.
	refusal string
}

// wordSet is a set of keywords.
type wordSet map[string]bool

func newWordSet(words string) wordSet {
	set := make(wordSet)
	for _, word := range strings.Fields(words) {
		set[word] = true
	}
	return set
}

var (
	writeWords   = newWordSet("insert update delete merge into nextval setval")
	explainWords = newWordSet("insert update delete merge into create refresh call execute nextval setval")
	refusedWords = newWordSet("copy listen unlisten notify prepare execute")
	temporary    = newWordSet("temp temporary")
)

// classifyQuery classifies each statement of a query.
func classifyQuery(query string) []class {
	statements := splitStatements(query)
	classes := make([]class, len(statements))
	for i, tokens := range statements {
		classes[i] = classifyTokens(tokens)
	}
	return classes
}

func classifyTokens(tokens []token) class {
	for len(tokens) > 1 && tokens[0].isSymbol("(") {
		tokens = tokens[1:]
	}
	if reason := refusedFunction(tokens); reason != "" {
		return refused(reason)
	}
	first := tokens[0].text
	if tokens[0].kind != tokenWord {
		return class{}
	}
	if refusedWords[first] {
		return refused(strings.ToUpper(first))
	}
	switch first {
	case "select", "values", "table", "with":
		return classifySelect(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "begin", "start":
		return class{boundary: boundaryBegin, readOnly: hasPair(tokens, "read", "only")}
	case "commit", "end", "rollback", "abort":
		return classifyEnd(tokens)
	case "create":
		return classifyCreate(tokens)
	case "declare":
		if hasPair(tokens, "with", "hold") {
			return refused("DECLARE WITH HOLD")
		}
		return class{inTransaction: true}
	case "set", "show", "reset", "discard", "deallocate":
		return classifyLocal(tokens)
	}
	return class{}
}

func refused(what string) class { return class{refusal: what + " is not supported"} }

// refusedFunction finds calls of functions that keep state in a server connection or send notifications.
func refusedFunction(tokens []token) string {
	for i, t := range tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		switch {
		case t.text == "pg_temp":
			return "a temporary table"
		case i+1 >= len(tokens) || !tokens[i+1].isSymbol("("):
		case strings.HasPrefix(t.text, "pg_advisory_") || strings.HasPrefix(t.text, "pg_try_advisory_"):
			return "an advisory lock"
		case t.text == "pg_notify" || t.text == "set_config":
			return t.text
		}
	}
	return ""
}

func classifySelect(tokens []token) class {
	for i, t := range tokens {
		if t.is("into") && i+1 < len(tokens) && tokens[i+1].kind == tokenWord && temporary[tokens[i+1].text] {
			return refused("a temporary table")
		}
	}
	if hasWord(tokens, writeWords) || locksRows(tokens) {
		return class{}
	}
	return class{kind: currantloom.ReadRequest}
}

func classifyExplain(tokens []token) class {
	analyze := hasWord(tokens, newWordSet("analyze analyse"))
	if analyze && (hasWord(tokens, explainWords) || locksRows(tokens)) {
		return class{}
	}
	return class{kind: currantloom.ReadRequest}
}

// locksRows finds FOR UPDATE, FOR NO KEY UPDATE, FOR SHARE and FOR KEY SHARE.
func locksRows(tokens []token) bool {
	for i, t := range tokens {
		if t.is("for") && i+1 < len(tokens) && hasWord(tokens[i+1:i+2], newWordSet("update share no key")) {
			return true
		}
	}
	return false
}

func classifyEnd(tokens []token) class {
	if len(tokens) > 1 && tokens[1].is("prepared") {
		return refused("two-phase commit")
	}
	if tokens[0].is("rollback") && hasWord(tokens, newWordSet("to")) {
		return class{boundary: boundarySavepoint}
	}
	if hasPair(tokens, "and", "chain") {
		return class{boundary: boundaryRestart}
	}
	return class{boundary: boundaryEnd}
}

func classifyCreate(tokens []token) class {
	for _, t := range tokens[1:min(len(tokens), 5)] {
		if t.kind == tokenWord && temporary[t.text] {
			return refused("a temporary table")
		}
		if t.isSymbol("(") || t.is("table") {
			break
		}
	}
	return class{}
}

func hasWord(tokens []token, words wordSet) bool {
	for _, t := range tokens {
		if t.kind == tokenWord && words[t.text] {
			return true
		}
	}
	return false
}

func hasPair(tokens []token, first, second string) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1].is(first) && tokens[i].is(second) {
			return true
		}
	}
	return false
}
