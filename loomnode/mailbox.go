package loomnode

import (
	"sync"

	"currantloom.example/currantloom/loomcore"
)

// mailbox is an unbounded queue of effects for the goroutine of a request or an attempt. put never blocks, because it
// is called with the node's lock held.
type mailbox struct {
	mu      sync.Mutex
	effects []loomcore.Effect
	ready   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(e loomcore.Effect) {
	m.mu.Lock()
	m.effects = append(m.effects, e)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the first effect, and waits for one if there is none.
func (m *mailbox) take() loomcore.Effect {
	for {
		m.mu.Lock()
		if len(m.effects) > 0 {
			e := m.effects[0]
			m.effects = m.effects[1:]
			m.mu.Unlock()
			return e
		}
		m.mu.Unlock()
		<-m.ready
	}
}
