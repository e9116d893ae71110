package loomfleet

import "currantloom.example/currantloom"

// sessionCommit is the newest commit of a session at a service.
type sessionCommit struct {
	group  *group
	commit sample
}

// recordCommit records a commit of the session. Positions of different services say nothing about each other, so each
// service that the session's route has named has its own.
func (sn *session) recordCommit(g *group, commit sample) {
	for i := range sn.commits {
		c := &sn.commits[i]
		if c.group != g {
			continue
		}
		if commit.position.Compare(c.commit.position) > 0 {
			c.commit = commit
		}
		return
	}
	sn.commits = append(sn.commits, sessionCommit{group: g, commit: commit})
}

// newestCommit returns the newest commit of the session at a service; zero if there is none.
func (sn *session) newestCommit(g *group) sample {
	for _, c := range sn.commits {
		if c.group == g {
			return c.commit
		}
	}
	return sample{}
}

// ownCommit returns the newest commit of the session at the service if the read must see it.
func (r *request) ownCommit() sample {
	if r.route.ReadPolicy != currantloom.ReadYourWrites {
		return sample{}
	}
	return r.session.newestCommit(r.group)
}
