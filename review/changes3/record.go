package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, with the seconds since the start.
type record struct {
	start time.Time
	file  *os.File

	mu sync.Mutex
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// note adds a line and also prints it.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
