package loomlog

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// explainBefore and explainAfter bound the time before the first and after the last line of a request in which lines
	// on the same service, upstream or VM explain it.
	explainBefore = 3 * time.Second
	explainAfter  = time.Second
	// maxLineLength bounds a line of the log in bytes. Longer lines are skipped.
	maxLineLength = 1 << 20
)

// record is a parsed line of a log.
type record struct {
	text      string
	timestamp time.Time
	fields    map[string]string
}

// parseRecord parses a line; it reports false if the line was not written by this package. The text keeps a prefix
// before the fields, such as a host name.
func parseRecord(line []byte) (record, bool) {
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		return record{}, false
	}
	r := record{text: string(line), fields: make(map[string]string)}
	d := logfmt.NewDecoderSize(bytes.NewReader(line[start:]), len(line)+1)
	if !d.ScanRecord() {
		return record{}, false
	}
	for d.ScanKeyval() {
		r.fields[string(d.Key())] = loggedText(string(d.Value()))
	}
	at, err := time.Parse(time.RFC3339Nano, r.fields["time"])
	if err != nil || d.Err() != nil {
		return record{}, false
	}
	r.timestamp = at
	return r, true
}

// relatedFields are the fields whose values relate other lines to those of a request. The organisation, the last one,
// does not relate a line on another session.
var relatedFields = []string{"service", "upstream", "vm", "session", "organisation"}

// Explain writes the lines of a log that explain the outcome of a request: the request's own lines, and the lines
// around that time on its session, on the configuration and its organisation, and on the state of its service, its
// upstreams and the VMs that it used. It returns the number of the request's own lines.
func Explain(in io.Reader, request string, out io.Writer) (int, error) {
	request = loggedText(request)
	var records []record
	for reader := bufio.NewReaderSize(in, maxLineLength); ; {
		line, err := readLogLine(reader)
		if r, ok := parseRecord(line); ok && mayExplain(r, request) {
			records = append(records, r)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, err
		}
	}
	ownLines, first, last := 0, time.Time{}, time.Time{}
	related := make(map[string]bool)
	for _, r := range records {
		if r.fields["request"] != request {
			continue
		}
		if ownLines == 0 {
			first = r.timestamp
		}
		ownLines++
		last = r.timestamp
		for _, name := range relatedFields {
			related[name+"="+r.fields[name]] = r.fields[name] != ""
		}
	}
	for _, r := range records {
		if ownLines > 0 && isRelated(r, request, related, first, last) {
			if _, err := fmt.Fprintln(out, r.text); err != nil {
				return ownLines, err
			}
		}
	}
	return ownLines, nil
}

// readLogLine returns the next line, or nothing in place of a line that does not fit into the reader's buffer. The line
// is valid until the next read.
func readLogLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimRight(line, "\r\n"), err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = in.ReadSlice('\n')
	}
	return nil, err
}

// mayExplain reports whether the line is one of the request's own or belongs to no request.
func mayExplain(r record, request string) bool {
	id, ok := r.fields["request"]
	return !ok || id == request
}

// isRelated reports whether the line is one of the request's own, or is close to them in time and is on the store, on
// the node as a whole, or on a related service, upstream, VM, session or organisation. A line on another session is not
// related by its organisation, nor is one on the configuration of another organisation.
func isRelated(r record, request string, related map[string]bool, first, last time.Time) bool {
	if r.fields["request"] == request {
		return true
	}
	if r.timestamp.Before(first.Add(-explainBefore)) || r.timestamp.After(last.Add(explainAfter)) {
		return false
	}
	names := relatedFields
	if session, ok := r.fields["session"]; ok && !related["session="+session] {
		names = names[:len(names)-1]
	}
	for _, name := range names {
		if related[name+"="+r.fields[name]] {
			return true
		}
	}
	switch r.fields["msg"] {
	case "configuration":
		return r.fields["organisation"] == ""
	case "store", "resumed", "stop":
		return true
	default:
		return false
	}
}
