package main

import (
	"os"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomlog"
)

// runExplain prints the lines of the log on standard input that explain a request.
func runExplain(request string) error {
	lines, err := loomlog.Explain(os.Stdin, request, os.Stdout)
	if err != nil {
		return err
	}
	if lines == 0 {
		return currantloom.ErrInput.New("no line of request %s; routine lines may have been left out", request)
	}
	return nil
}
