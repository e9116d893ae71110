package loomlog

import (
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// maxTextLength bounds a text in a line, in bytes.
	maxTextLength = 256
	// shortenedLength is what remains of a longer text. The number of its bytes and a checksum follow, so that two long
	// texts with the same beginning remain distinct; both together with shortenedLength are below maxTextLength.
	shortenedLength = 192
)

// checksumTable selects a checksum that processors compute, because texts are shortened while the node's lock is held.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// shorten returns a text of maxTextLength bytes at most.
func shorten(text string) string {
	if len(text) <= maxTextLength {
		return text
	}
	end := shortenedLength
	for end > shortenedLength-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%s... (%d bytes, %08x)", text[:end], len(text), crc32.Checksum([]byte(text), checksumTable))
}

// printable replaces the characters that the encoding of a line keeps as they are, although a reader may take them for
// an end of line or for a command to the terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r >= utf8.RuneSelf && !unicode.IsPrint(r) {
			return utf8.RuneError
		}
		return r
	}, text)
}

// loggedText returns a text as a line shows it.
func loggedText(text string) string { return printable(shorten(text)) }

// shortenFields returns the fields with shortened strings, so that the queue does not hold long ones.
func shortenFields(fields []any) []any {
	copied := false
	for i, v := range fields {
		text, ok := v.(string)
		if !ok || len(text) <= maxTextLength {
			continue
		}
		if !copied {
			fields, copied = append([]any(nil), fields...), true
		}
		fields[i] = shorten(text)
	}
	return fields
}

// loggedFields returns the fields with values that are numbers or texts as lines show them.
func loggedFields(fields []any) []any {
	logged := make([]any, len(fields))
	for i, v := range fields {
		logged[i] = loggedValue(v)
	}
	return logged
}

func loggedValue(v any) any {
	if text, ok := v.(string); ok {
		return loggedText(text)
	}
	switch reflect.ValueOf(v).Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Uint,
		reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Float32, reflect.Float64:
		if _, ok := v.(fmt.Stringer); !ok {
			return v
		}
	}
	return loggedText(fmt.Sprint(v))
}
