package currantloom

import (
	"fmt"
	"strings"
)

// Fault is one error in a file that an operator wrote. Lines and columns count from 1, columns in characters.
type Fault struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns the fault as "file:line:column: message".
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults are all errors in a file, in the order of their position.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
