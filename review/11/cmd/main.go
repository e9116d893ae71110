// Command cmd is case 11: the key of a tenant is replaced while its clients commit transactions.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"currantloom.example/currantloom/review/casekit3"
)

const (
	// slots, connections, workTime and oneWay are those of a server of the deployment, and of the way to it from another
	// region.
	slots, connections = 4, 70
	workTime           = 4500 * time.Microsecond
	oneWay             = 30 * time.Millisecond
	memoryMB           = 536
	// largeSessions is the number of sessions of the large tenant.
	largeSessions = 36
	// rotations is how often its key is replaced, rotationGap the time between two of them.
	rotations, rotationGap = 30, time.Second
	// calmTime is the time with traffic until the first replacement, dayLength the time with traffic.
	calmTime, dayLength = 2 * time.Second, 80 * time.Second
	// otherInterval is the time between two requests of the other tenant, largePause that between two requests of a
	// session of the large one.
	otherInterval, largePause = 300 * time.Millisecond, 20 * time.Millisecond
	// deadline is that of a request, counted from the client's first attempt, retries the number of further attempts.
	deadline, retries = 8 * time.Second, 2
	// maxRefused is the part of the requests, in percent, that may be refused or fail.
	maxRefused = 60
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// counts are the requests of a tenant that were owed, and those that were served.
type counts struct{ owed, served atomic.Int64 }

// scenario is a run of the case.
type scenario struct {
	record *casekit3.Record
	store  *casekit3.Store
	fleet  *casekit3.Fleet
	stop   atomic.Bool
	wait   sync.WaitGroup
	// key is the number of the large tenant's key.
	key          atomic.Int64
	large, other counts
	// lastServed is when the last request was served, in milliseconds since the start of traffic.
	lastServed atomic.Int64
	startedAt  time.Time
}

func run(binary, recordPath string) int {
	record, err := casekit3.NewRecord(recordPath)
	if err != nil {
		return casekit3.CouldNotRun
	}
	dir, err := os.MkdirTemp("", "review-11-")
	if err != nil {
		return casekit3.CouldNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &scenario{record: record, fleet: &casekit3.Fleet{
		Binary: binary, Dir: dir, Record: record,
		Zones: map[string]string{"kochi-a": "kochi", "tvm-a": "tvm"},
	}}
	defer s.fleet.Close()
	if err := s.start(); err != nil {
		record.Logf("could not run: %v", err)
		return casekit3.CouldNotRun
	}
	return s.judge()
}

// start starts the platform, the servers, the nodes and the clients.
func (s *scenario) start() error {
	l, err := casekit3.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	d := &casekit3.Database{
		Service: "orders-db", Slots: slots, Connections: connections, WorkTime: workTime, Delay: oneWay,
	}
	d.Store = casekit3.NewStore(d.Promote)
	s.store = d.Store
	go d.Store.Serve(l)
	s.configure(1, 0)
	for i := range 3 {
		address, err := casekit3.FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		if err := d.StartServer(fmt.Sprintf("i-%d", i+1), address, "tvm-a"); err != nil {
			return err
		}
	}
	for i := range 3 {
		ip := fmt.Sprintf("127.0.111.%d", i+1)
		if err := s.fleet.Add(fmt.Sprintf("kochi-a-%d", i+1), "kochi-a", ip, memoryMB); err != nil {
			return err
		}
	}
	if err := s.fleet.Start(l.Addr().String()); err != nil {
		return err
	}
	s.startedAt = time.Now()
	for i := range largeSessions {
		s.wait.Go(func() { s.runLarge(i) })
	}
	s.wait.Go(s.runOther)
	return nil
}

// configure writes a configuration in which the large tenant holds the key of the number alone.
func (s *scenario) configure(version, number int) {
	s.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":"booking","type":"primary",`+
		`"timeoutMs":800,"targetLatencyMs":800,"priority":1,"service":"orders-db"}],"services":[{"name":"orders-db",`+
		`"maxConnections":%d,"syncReplicas":1}],"tenants":[{"name":"hospitals","apiKeys":[%q]},{"name":"colleges",`+
		`"apiKeys":["key-of-colleges"]}],"limits":{"txIdleMs":3000}}`, version, connections, largeKey(number)))
	s.key.Store(int64(number))
	s.record.Logf("configuration %d acknowledged: key %d of hospitals is the only one", version, number)
}

func largeKey(number int) string { return fmt.Sprintf("key-%d-of-hospitals", number) }

func (s *scenario) node(i int) *casekit3.Node { return s.fleet.Nodes[i%len(s.fleet.Nodes)] }

// count counts a request of a tenant.
func (s *scenario) count(c *counts, served bool) {
	c.owed.Add(1)
	if served {
		c.served.Add(1)
		s.lastServed.Store(time.Since(s.startedAt).Milliseconds())
	}
}

// runLarge runs transactions of the large tenant, in a session with the key that the tenant holds.
func (s *scenario) runLarge(i int) {
	for n := 0; !s.stop.Load(); n++ {
		number := s.key.Load()
		c, err := casekit3.OpenSession(s.node(i+n).Address, "booking", largeKey(int(number)))
		if err != nil {
			time.Sleep(largePause)
			continue
		}
		for k := 0; !s.stop.Load(); k++ {
			served, closed := runTransaction(c, fmt.Sprintf("a%d-%d-%d", i, n, k))
			if served || number == s.key.Load() {
				// A request whose key was taken away meanwhile isn't owed.
				s.count(&s.large, served)
			}
			if closed {
				break
			}
			time.Sleep(largePause)
		}
		c.Close()
	}
}

// runTransaction runs a transaction with a session value of its own. It reports whether it was committed, and whether
// the session is over.
func runTransaction(c *casekit3.Session, id string) (served, closed bool) {
	for n, text := range []string{"BEGIN", "WRITE 1a4 " + id, "SET v1 " + id, "COMMIT"} {
		a, err := c.Query(fmt.Sprintf("%s.%d", id, n), text)
		switch {
		case err != nil || a.Code == "AUTHFAIL":
			return false, true
		case a.OK():
		case a.State == "I":
			return false, false
		default:
			_, err := c.Query(id+".r", "ROLLBACK")
			return false, err != nil
		}
	}
	return true, false
}

// runOther starts a request of the other tenant at regular times, each a write in a session of its own.
func (s *scenario) runOther() {
	for i := 0; !s.stop.Load(); i++ {
		s.wait.Go(func() { s.runWrite(i) })
		time.Sleep(otherInterval)
	}
}

// runWrite runs a write. It is sent again, to another node, after a promise that it has not run.
func (s *scenario) runWrite(i int) {
	sentAt := time.Now()
	var a casekit3.Answer
	var err error
	for attempt := 0; attempt <= retries && time.Since(sentAt) < deadline; attempt++ {
		if a, err = s.tryWrite(s.node(i+attempt), fmt.Sprintf("b%d.%d", i, attempt)); err != nil || a.Code != "BUSY" {
			break
		}
	}
	served := err == nil && a.OK() && time.Since(sentAt) < deadline
	s.count(&s.other, served)
	if i%10 == 0 {
		s.record.Logf("WRITE b%d of colleges ends after %.3f s: %v %v", i, time.Since(sentAt).Seconds(), a, err)
	}
}

func (s *scenario) tryWrite(n *casekit3.Node, id string) (casekit3.Answer, error) {
	c, err := casekit3.OpenSession(n.Address, "booking", "key-of-colleges")
	if err != nil {
		return casekit3.Answer{}, err
	}
	defer c.Close()
	return c.Query(id, "WRITE 2b5 "+id)
}

// judge replaces the key and judges the day by the gate.
func (s *scenario) judge() int {
	time.Sleep(calmTime)
	s.describe()
	if casekit3.HasTrouble() {
		for number := 1; number <= rotations; number++ {
			s.configure(1+number*3, number)
			time.Sleep(rotationGap)
		}
	}
	for time.Since(s.startedAt) < dayLength {
		time.Sleep(5 * time.Second)
		s.describe()
	}
	s.stop.Store(true)
	s.wait.Wait()
	s.describe()
	owed, served := s.large.owed.Load()+s.other.owed.Load(), s.large.served.Load()+s.other.served.Load()
	s.record.Logf("%d of %d owed requests were refused or failed; the last one was served at %.1f s of %.1f s",
		owed-served, owed, float64(s.lastServed.Load())/1000, time.Since(s.startedAt).Seconds())
	if (owed-served)*100 > owed*maxRefused {
		return casekit3.RuleBroken
	}
	return casekit3.RuleHeld
}

func (s *scenario) describe() {
	s.record.Logf("served so far: hospitals %d of %d, colleges %d of %d", s.large.served.Load(), s.large.owed.Load(),
		s.other.served.Load(), s.other.owed.Load())
}
