// Package casekit3 holds the stand-ins of case 13 for the platform, for servers and for clients, which
// follow the users' pages, and the start of nodes as processes of their own.
package casekit3

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Results of a case, as exit codes.
const (
	RuleHeld = iota
	RuleBroken
	CouldNotRun
)

// HasTrouble reports whether the disruption of the case is to happen.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	return &Record{out: out, start: time.Now()}, err
}

// Logf writes a line with the time since the start of the case.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Listen listens at a TCP address.
func Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

// FreeAddress returns an address of the IP with a port that is free.
func FreeAddress(ip string) (string, error) {
	l, err := Listen(ip + ":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// ReadLine reads a line without its end.
func ReadLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// answerTimeout is how long a client waits for a line.
const answerTimeout = 10 * time.Second

// Session is a client's session.
type Session struct {
	Conn net.Conn
	in   *bufio.Reader
}

// Answer is the answer to a statement. Code is empty if it is a success.
type Answer struct {
	Rows            int
	Signature       string
	Code, Text      string
	State, Position string
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == "" }

func (a Answer) String() string {
	if a.OK() {
		return "COMPLETE " + a.Signature
	}
	return "ERROR " + a.Code + " " + a.Text
}

// OpenSession opens a session at a node.
func OpenSession(address, database, key string) (*Session, error) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Session{Conn: conn, in: bufio.NewReader(conn)}
	line, err := s.exchange("STARTUP " + database + " " + key)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("startup answered with %q", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the session.
func (s *Session) Close() { _ = s.Conn.Close() }

func (s *Session) exchange(line string) (string, error) {
	_ = s.Conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := s.Conn.Write([]byte(line + "\r\n")); err != nil {
		return "", err
	}
	return ReadLine(s.in)
}

// Query sends a statement and returns its answer.
func (s *Session) Query(id, text string) (Answer, error) {
	var a Answer
	line, err := s.exchange("QUERY " + id + " " + text)
	for ; err == nil; line, err = ReadLine(s.in) {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case names.Row:
			a.Rows++
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, a.Position, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
	return a, err
}
