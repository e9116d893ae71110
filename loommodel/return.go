package loommodel

import (
	"fmt"
	"strings"
)

// ReturnUnderNewID restarts a crashed or hung upstream at once, at its location, with its log and under a new id, which
// it returns. The old registration lapses registrationLapse after the crash. Cuts of the old id do not apply to the
// new one. It returns an empty string if the upstream is not down.
func (sim *Simulation) ReturnUnderNewID(name string) string {
	u := sim.upstream(name)
	if u == nil || u.responsive() {
		return ""
	}
	u.returns++
	base, _, _ := strings.Cut(u.name, "~")
	u.name = fmt.Sprintf("%s~%d", base, u.returns)
	u.draining, u.reports = false, 0
	u.restart()
	return u.name
}
