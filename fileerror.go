package currantloom

import (
	"fmt"
	"strings"
)

// FileError is one error in a file written by an operator. Lines and columns count from 1, columns in characters.
type FileError struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns the error as "file:line:column: message".
func (e FileError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// FileErrors holds all errors in a file, ordered by position.
type FileErrors []FileError

// Error returns one line per error.
func (e FileErrors) Error() string {
	lines := make([]string, len(e))
	for i, fileError := range e {
		lines[i] = fileError.Error()
	}
	return strings.Join(lines, "\n")
}
