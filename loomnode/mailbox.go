package loomnode

import (
	"sync"

	"currantloom.example/currantloom/loomcore"
)

// mailbox passes effects to the goroutine of a request. Putting never blocks, because the reducer waits for it.
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

// take waits for the next effect.
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
