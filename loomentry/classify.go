package loomentry

import (
	"strings"

	"currantloom.example/currantloom"
)

// boundary is the effect of a statement on the session's transaction.
type boundary uint8

const (
	boundaryNone boundary = iota
	boundaryBegin
	boundaryEnd
	// boundaryRestart ends a transaction and begins another (COMMIT AND CHAIN).
	boundaryRestart
	// boundarySavepoint rolls back to a savepoint, which ends the failed state of a transaction.
	boundarySavepoint
)

// statementClass is the classification of one statement by its text.
type statementClass struct {
	kind     currantloom.RequestKind
	boundary boundary
	// readOnly says that a BEGIN starts a read-only transaction.
	readOnly bool
	// requiresTransaction says that the statement is refused outside a transaction.
	requiresTransaction bool
	// local is set for statements that the session answers without an upstream.
	local *localStatement
	// refusal is the reason why the statement is refused, empty if it is not.
	refusal string
}

// keywordSet is a set of keywords.
type keywordSet map[string]bool

func newKeywordSet(words string) keywordSet {
	set := make(keywordSet)
	for _, word := range strings.Fields(words) {
		set[word] = true
	}
	return set
}

var (
	writeKeywords        = newKeywordSet("insert update delete merge into nextval setval")
	explainWriteKeywords = newKeywordSet("insert update delete merge into create refresh call execute nextval setval")
	refusedKeywords      = newKeywordSet("copy listen unlisten notify prepare execute")
	temporaryKeywords    = newKeywordSet("temp temporary")
)

// classifyQuery classifies each statement of a query.
func classifyQuery(query string) []statementClass {
	statements := splitStatements(query)
	classes := make([]statementClass, len(statements))
	for i, tokens := range statements {
		classes[i] = classifyTokens(tokens)
	}
	return classes
}

func classifyTokens(tokens []token) statementClass {
	for len(tokens) > 1 && tokens[0].isSymbol("(") {
		tokens = tokens[1:]
	}
	if reason := refusedFunction(tokens); reason != "" {
		return refusedClass(reason)
	}
	first := tokens[0].text
	if tokens[0].kind != tokenWord {
		return statementClass{}
	}
	if refusedKeywords[first] {
		return refusedClass(strings.ToUpper(first))
	}
	switch first {
	case "select", "values", "table", "with":
		return classifySelect(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "begin", "start":
		return statementClass{boundary: boundaryBegin, readOnly: hasKeywordPair(tokens, "read", "only")}
	case "commit", "end", "rollback", "abort":
		return classifyEnd(tokens)
	case "create":
		return classifyCreate(tokens)
	case "declare":
		if hasKeywordPair(tokens, "with", "hold") {
			return refusedClass("DECLARE WITH HOLD")
		}
		return statementClass{requiresTransaction: true}
	case "set", "show", "reset", "discard", "deallocate":
		return classifyLocal(tokens)
	}
	return statementClass{}
}

func refusedClass(what string) statementClass {
	return statementClass{refusal: what + " is not supported"}
}

// refusedFunction looks for calls of functions that keep state in an upstream connection or send notifications, and
// returns what the statement would use.
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

func classifySelect(tokens []token) statementClass {
	for i, t := range tokens {
		if t.is("into") && i+1 < len(tokens) && tokens[i+1].kind == tokenWord && temporaryKeywords[tokens[i+1].text] {
			return refusedClass("a temporary table")
		}
	}
	if hasKeyword(tokens, writeKeywords) || locksRows(tokens) {
		return statementClass{}
	}
	return statementClass{kind: currantloom.ReadRequest}
}

func classifyExplain(tokens []token) statementClass {
	analyze := hasKeyword(tokens, newKeywordSet("analyze analyse"))
	if analyze && (hasKeyword(tokens, explainWriteKeywords) || locksRows(tokens)) {
		return statementClass{}
	}
	return statementClass{kind: currantloom.ReadRequest}
}

// locksRows reports whether the statement has a FOR UPDATE, FOR NO KEY UPDATE, FOR SHARE or FOR KEY SHARE clause.
func locksRows(tokens []token) bool {
	for i, t := range tokens {
		if t.is("for") && i+1 < len(tokens) && hasKeyword(tokens[i+1:i+2], newKeywordSet("update share no key")) {
			return true
		}
	}
	return false
}

func classifyEnd(tokens []token) statementClass {
	if len(tokens) > 1 && tokens[1].is("prepared") {
		return refusedClass("two-phase commit")
	}
	if tokens[0].is("rollback") && hasKeyword(tokens, newKeywordSet("to")) {
		return statementClass{boundary: boundarySavepoint}
	}
	if hasKeywordPair(tokens, "and", "chain") {
		return statementClass{boundary: boundaryRestart}
	}
	return statementClass{boundary: boundaryEnd}
}

func classifyCreate(tokens []token) statementClass {
	for _, t := range tokens[1:min(len(tokens), 5)] {
		if t.kind == tokenWord && temporaryKeywords[t.text] {
			return refusedClass("a temporary table")
		}
		if t.isSymbol("(") || t.is("table") {
			break
		}
	}
	return statementClass{}
}

func hasKeyword(tokens []token, words keywordSet) bool {
	for _, t := range tokens {
		if t.kind == tokenWord && words[t.text] {
			return true
		}
	}
	return false
}

func hasKeywordPair(tokens []token, first, second string) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1].is(first) && tokens[i].is(second) {
			return true
		}
	}
	return false
}
