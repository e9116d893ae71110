package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// serviceName is the name of the only service.
	serviceName = "huvo11a"
	// heartbeatInterval is heartbeatMs of the settings. A registration is removed after three of them.
	heartbeatInterval = 1200 * time.Millisecond
	// promoteTime is the time from the accepted call until the named upstream leads the next term, as on Rollwerk's sheet.
	promoteTime = 1000 * time.Millisecond
	// replicationInterval is how often replicas receive, workTime how long a statement takes.
	replicationInterval = 5 * time.Millisecond
	workTime            = 3 * time.Millisecond
)

// entry is a commit in a log.
type entry struct {
	term           int
	id, item, data string
}

// upstream is a server of the database. A server that is down keeps its log.
type upstream struct {
	id, zone, address string
	down, paused      bool
	// steppedDown says that the leader has become a replica on command.
	steppedDown bool
	term        int
	log         []entry
	// acked is the number of commits that a replica has received, while the upstream leads.
	acked      int
	born       int64
	sequence   int
	beatAt     time.Time
	registered bool
	conns      map[net.Conn]bool
	listener   net.Listener
}

// ran is a statement that an upstream ran, with the shape of its prepared statement, which is empty for any other, and
// the settings of the connection.
type ran struct {
	upstream, id, text, shape string
	settings                  map[string]string
}

// database is the service with its upstreams and the platform's knowledge of its leader. Statements, replication and
// promotions run under one lock.
type database struct {
	record *record
	store  *store

	mu        sync.Mutex
	upstreams []*upstream
	leader    *upstream
	fence     uint64
	// onFailover is told the holder of each call for a promotion that is accepted, onPromotion the upstream.
	onFailover  func(holder string)
	onPromotion func(u *upstream)
	// lostEvery says that the answer of one in so many reads is lost; none if it is zero. answers counts the reads.
	lostEvery, answers int
	// ids counts the ids of upstreams that were given out.
	ids        int
	statements []ran
	tasks      sync.WaitGroup
}

// startDatabase starts three upstreams. The first one leads term 1.
func startDatabase(ctx context.Context, r *record, s *store, zones []string) (*database, error) {
	d := &database{record: r, store: s}
	for i, zone := range zones {
		l, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		u := &upstream{
			id: fmt.Sprintf("i-%08x", 0xa0000001+i), zone: zone, address: l.Addr().String(), term: 1, listener: l,
			born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool),
		}
		d.upstreams = append(d.upstreams, u)
		d.tasks.Go(func() { d.accept(u) })
	}
	d.leader = d.upstreams[0]
	d.tasks.Go(func() { d.tick(ctx) })
	return d, nil
}

func (d *database) close() {
	for _, u := range d.upstreams {
		_ = u.listener.Close()
	}
	d.mu.Lock()
	for _, u := range d.upstreams {
		for c := range u.conns {
			_ = c.Close()
		}
	}
	d.mu.Unlock()
	d.tasks.Wait()
}

// tick replicates, writes heartbeats and removes registrations that are silent.
func (d *database) tick(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		d.mu.Lock()
		for _, u := range d.upstreams {
			if u.down && u.registered && now.Sub(u.beatAt) >= 3*heartbeatInterval {
				u.registered = false
				d.store.drop("servers/" + u.id)
				d.record.add("the registration of %s is removed", u.id)
			}
			if !u.down && now.Sub(u.beatAt) >= heartbeatInterval {
				d.register(u)
			}
			if !u.down && !d.leader.down && !d.leader.steppedDown && u != d.leader && !u.paused {
				u.log, u.term = slices.Clone(d.leader.log), d.leader.term
			}
		}
		d.mu.Unlock()
		d.store.expire(now)
		time.Sleep(replicationInterval)
	}
}

// leads reports whether the upstream acts as primary. The lock is held.
func (d *database) leads(u *upstream) bool { return u == d.leader && !u.steppedDown }

func (d *database) role(u *upstream) string {
	if d.leads(u) {
		return "primary"
	}
	return "replica"
}

// register writes the registration of an upstream. The lock is held.
func (d *database) register(u *upstream) {
	u.sequence++
	u.beatAt, u.registered = time.Now(), true
	value, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": u.address, "zone": u.zone, "version": "v1", "capacity": 2, "phase": "ready",
		"warmupLeftMs": 0, names.RoleField: d.role(u), "sequence": u.sequence, "born": u.born,
	})
	d.store.put("servers/"+u.id, value)
}

// position returns the end of the log. The lock is held.
func (u *upstream) position() string { return u.positionOf(len(u.log)) }

// positionOf returns the position of the entry with the number: the term in which it was written, and the number. The
// lock is held.
func (u *upstream) positionOf(number int) string {
	term := 1
	if number > 0 {
		term = u.log[number-1].term
	}
	return strconv.Itoa(term) + "." + strconv.Itoa(number)
}

// visible returns the position that replies to clients carry: on the leader, that of the newest commit that a replica
// has received. The lock is held.
func (d *database) visible(u *upstream) string {
	if u == d.leader {
		return u.positionOf(u.acked)
	}
	return u.position()
}

// crash ends the process of an upstream: its connections break and nobody listens at its address.
func (d *database) crash(u *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.down = true
	for c := range u.conns {
		_ = c.Close()
	}
	d.record.add("%s (%s) crashes, its log ends at %s", u.id, d.role(u), u.position())
}

// restart starts the process of an upstream again, with its log.
func (d *database) restart(u *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u.down, u.paused, u.sequence, u.born = false, false, 0, time.Now().UnixMilli()
	d.register(u)
	d.record.add("%s is back as %s, its log ends at %s", u.id, d.role(u), u.position())
}

// rejoin starts the process of an upstream again, with its log and under a new id. The registration of the old id is
// removed like that of any upstream that is silent.
func (d *database) rejoin(u *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, silentSince := u.id, u.beatAt
	d.ids++
	u.id = fmt.Sprintf("i-%08x", 0xb0000000+d.ids)
	time.AfterFunc(time.Until(silentSince.Add(3*heartbeatInterval)), func() { d.store.drop("servers/" + old) })
	u.down, u.paused, u.sequence, u.born = false, false, 0, time.Now().UnixMilli()
	d.register(u)
	d.record.add("%s is back as %s (%s), its log ends at %s", old, u.id, d.role(u), u.position())
}

// find returns the upstream with the id; nil if there is none.
func (d *database) find(id string) *upstream {
	for _, u := range d.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// serveFailover is POST /failover of the platform.
func (d *database) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get(names.FenceHeader), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != serviceName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.find(body.ID)
	holder := r.Header.Get(names.HolderHeader)
	if u == nil || u.down || fence < d.fence {
		d.record.add("POST /failover %s by %s, fence %d: 409", body.ID, holder, fence)
		w.WriteHeader(http.StatusConflict)
		return
	}
	d.fence = fence
	d.record.add("POST /failover %s by %s, fence %d: 200", body.ID, holder, fence)
	if d.onFailover != nil {
		d.onFailover(holder)
	}
	if !d.leads(u) {
		if d.onPromotion != nil {
			d.onPromotion(u)
		}
		d.tasks.Go(func() { d.promote(u, fence) })
	}
}

// promote makes the upstream lead the next term with what it has received, unless a newer call was accepted.
func (d *database) promote(u *upstream, fence uint64) {
	time.Sleep(promoteTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.down || fence < d.fence || d.leads(u) {
		return
	}
	old := d.leader
	d.leader, u.term, u.steppedDown, old.steppedDown = u, old.term+1, false, false
	u.acked = len(u.log)
	for _, other := range d.upstreams {
		other.paused = false
	}
	d.register(u)
	if !old.down {
		d.register(old)
	}
	d.record.add("%s leads term %d with the log up to %d; that of %s ended at %s", u.id, u.term, len(u.log), old.id,
		old.position())
}
