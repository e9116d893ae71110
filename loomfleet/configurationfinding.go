package loomfleet

import (
	"fmt"

	"currantloom.example/currantloom"
)

// maxLoggedFindings bounds the log lines on the findings of one configuration; a further line counts the others. The
// queue of the log takes 8,192 lines.
const maxLoggedFindings = 500

// logFindings logs what operators should correct in a configuration that was put into effect.
func (s *State) logFindings(c currantloom.Configuration) {
	logged := c.Findings[:min(len(c.Findings), maxLoggedFindings)]
	for _, f := range logged {
		s.log(Decision{
			Event: "configuration", Version: c.Version, Organisation: f.Organisation, Reason: f.Reason,
			Outcome: f.Outcome.String(),
		})
	}
	if more := len(c.Findings) - len(logged); more > 0 {
		s.log(Decision{
			Event: "configuration", Version: c.Version, Count: more, Reason: fmt.Sprintf("more than %d findings", len(logged)),
			Outcome: "omitted",
		})
	}
}
