package loomserver

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// encodeQuery encodes a simple Query message.
func encodeQuery(sql string) []byte {
	body := make([]byte, 0, len(sql)+6)
	body = append(body, 'Q')
	body = binary.BigEndian.AppendUint32(body, uint32(len(sql)+5))
	body = append(body, sql...)
	return append(body, 0)
}

// encodeExtendedQuery encodes one statement with text parameters in the extended protocol, up to Sync. The values need
// no quoting, which would depend on the upstream's settings. A text with a zero byte is refused, because PostgreSQL has
// none.
func encodeExtendedQuery(sql string, parameters ...string) ([]byte, error) {
	bind := &pgproto3.Bind{}
	for _, p := range parameters {
		if strings.IndexByte(p, 0) >= 0 {
			return nil, currantloom.ErrInput.New("text %q contains a zero byte", p)
		}
		bind.Parameters = append(bind.Parameters, []byte(p))
	}
	var encoded []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: sql}, bind, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		var err error
		if encoded, err = m.Encode(encoded); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

// encodedSync is a Sync message of syncSize bytes.
var encodedSync = []byte{'S', 0, 0, 0, 4}

const syncSize = 5

// parseStatusParameter decodes the name and the value of a ParameterStatus.
func parseStatusParameter(body []byte) (name, value string) {
	var m pgproto3.ParameterStatus
	if err := m.Decode(body); err != nil {
		return "", ""
	}
	return m.Name, m.Value
}

// message is one message of a request's body.
type message struct {
	kind byte
	body []byte
}

// splitMessages splits the encoded messages of a body.
func splitMessages(body []byte) ([]message, error) {
	var messages []message
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, currantloom.ErrInput.New("truncated message")
		}
		length := int(binary.BigEndian.Uint32(body[1:])) + 1
		if length < 5 || length > len(body) {
			return nil, currantloom.ErrInput.New("message of type %q has invalid length", body[0])
		}
		messages = append(messages, message{body[0], body[5:length]})
		body = body[length:]
	}
	return messages, nil
}

// statementTexts returns the texts of the statements in Query and Parse messages. A Query may hold several.
func statementTexts(messages []message) []string {
	var texts []string
	for _, m := range messages {
		switch m.kind {
		case 'Q':
			texts = append(texts, splitStatements(strings.TrimRight(string(m.body), "\x00"))...)
		case 'P':
			var p pgproto3.Parse
			if p.Decode(m.body) == nil {
				texts = append(texts, splitStatements(p.Query)...)
			}
		}
	}
	return texts
}

// splitStatements splits a query at the semicolons outside of strings, quoted identifiers and comments, and removes
// leading space and comments.
func splitStatements(sql string) []string {
	var texts []string
	start := 0
	add := func(end int) {
		if text := trimLeadingComments(sql[start:end]); text != "" {
			texts = append(texts, text)
		}
		start = end + 1
	}
	for i := 0; i < len(sql); {
		if n := quotedLength(sql[i:]); n > 0 {
			i += n
			continue
		}
		if sql[i] == ';' {
			add(i)
		}
		i++
	}
	if start < len(sql) {
		add(len(sql))
	}
	return texts
}

// quotedLength returns the length of the string, quoted identifier or comment that sql starts with, zero if it starts
// with none.
func quotedLength(sql string) int {
	until := func(from int, end string) int {
		if n := strings.Index(sql[from:], end); n >= 0 {
			return from + n + len(end)
		}
		return len(sql)
	}
	switch {
	case sql[0] == '\'' || sql[0] == '"':
		return until(1, sql[:1])
	case strings.HasPrefix(sql, "--"):
		return until(2, "\n")
	case strings.HasPrefix(sql, "/*"):
		return until(2, "*/")
	case sql[0] == '$':
		end := strings.IndexByte(sql[1:], '$')
		if end >= 0 && !strings.ContainsAny(sql[1:1+end], " \t\n;,()'\"=") && (end == 0 || sql[1] > '9') {
			return until(end+2, sql[:end+2])
		}
	}
	return 0
}

func trimLeadingComments(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f\v")
		if !strings.HasPrefix(text, "--") && !strings.HasPrefix(text, "/*") {
			return text
		}
		text = text[quotedLength(text):]
	}
}

// firstKeyword returns the first word of a statement in lower case.
func firstKeyword(statement string) string {
	end := strings.IndexFunc(statement, func(r rune) bool { return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') })
	if end >= 0 {
		statement = statement[:end]
	}
	return strings.ToLower(statement)
}

// controlsTransaction reports whether a statement begins or ends a transaction.
func controlsTransaction(statement string) bool {
	switch firstKeyword(statement) {
	case "begin", "start", "commit", "end", "rollback", "abort", "prepare":
		return true
	}
	return false
}
