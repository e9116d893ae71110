package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// Deadline returns the time that the rules allow for a statement whose session sets no deadline.
func (s *State) Deadline(
	database currantloom.DatabaseName, organisation currantloom.OrganisationName, statement string,
) time.Duration {
	class, _ := s.rules.rules.Class(database, statement)
	return s.rules.rules.Deadline(database, organisation, class)
}
