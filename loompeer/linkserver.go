package loompeer

import (
	"context"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

// closingGrace is the time for which an idle link still accepts requests after a frameClosing: the entry node may have
// sent a request before it received the frame.
const closingGrace = 200 * time.Millisecond

// LinkServer accepts links from entry nodes and runs their requests.
type LinkServer struct {
	// OpenLink returns the local link that runs the requests of one connection.
	OpenLink func() currantloom.Link
	// CancelRequest cancels a request that runs on a link. If it is nil, cancels are ignored.
	CancelRequest func(key currantloom.RequestKey)

	mu      sync.Mutex
	links   map[*serverLink]bool
	closing bool
	wg      sync.WaitGroup
}

// Serve accepts links until the listener is closed.
func (s *LinkServer) Serve(listener net.Listener) error {
	return loomwire.Accept(listener, func(conn net.Conn) {
		l := newServerLink(s, conn)
		if !s.add(l) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.remove(l)
			l.serve(context.Background())
		}()
	})
}

func (s *LinkServer) add(l *serverLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	if s.links == nil {
		s.links = make(map[*serverLink]bool)
	}
	s.links[l] = true
	s.wg.Add(1)
	return true
}

func (s *LinkServer) remove(l *serverLink) {
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *LinkServer) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *LinkServer) openLinks() []*serverLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	var links []*serverLink
	for l := range s.links {
		links = append(links, l)
	}
	return links
}

// Close announces the closing on each idle link, closes the idle links after closingGrace, and waits for the requests
// and transactions in progress.
func (s *LinkServer) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	links := s.openLinks()
	for _, l := range links {
		l.announceClose()
	}
	if len(links) > 0 {
		time.Sleep(closingGrace)
	}
	for _, l := range s.openLinks() {
		l.closeWhenIdle()
	}
	s.wg.Wait()
	return nil
}
