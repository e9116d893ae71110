package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loomnode"
	"currantloom.example/currantloom/loomstandin"
)

const (
	testDatabase  = "wheel-core-1"
	upstreamSlots = 16
)

// listen opens n listeners on free loopback ports.
func listen(t testing.TB, n int) []net.Listener {
	t.Helper()
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		t.Cleanup(func() { _ = l.Close() })
	}
	return listeners
}

// startGroup starts a stand-in group of three database servers with a table of orders. It returns their addresses and a
// direct connection to the primary, which is the first one.
func startGroup(t testing.TB) ([]string, *pgx.Conn) {
	t.Helper()
	listeners := listen(t, 3)
	g, err := loomstandin.StartGroup(loomstandin.Options{Slots: upstreamSlots, MaxConnections: 100}, listeners...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	var addresses []string
	for _, l := range listeners {
		addresses = append(addresses, l.Addr().String())
	}
	direct := dial(t, addresses[0])
	if _, err := direct.Exec(context.Background(), "CREATE TABLE orders (id text PRIMARY KEY, n bigint)"); err != nil {
		t.Fatal(err)
	}
	return addresses, direct
}

// countOrders returns the number of orders that the primary holds with the id.
func countOrders(t *testing.T, direct *pgx.Conn, id string) (n int) {
	t.Helper()
	row := direct.QueryRow(t.Context(), "SELECT count(*) FROM orders WHERE id = $1", id)
	if err := row.Scan(&n); err != nil {
		t.Error(err)
	}
	return n
}

// staticVMList is a currantloom.VMList that never changes.
type staticVMList []currantloom.VM

func (f staticVMList) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	if after > 0 {
		<-ctx.Done()
		return currantloom.VMSet{}, ctx.Err()
	}
	return currantloom.VMSet{VMs: f, Index: 1}, nil
}

// nodeLocation returns the location of a node. The first node is in the failure domain of the upstreams, so that it
// owns them.
func nodeLocation(i int) currantloom.Location {
	if i == 0 {
		return currantloom.NewLocation("ost", "ost-linz")
	}
	return currantloom.NewLocation("ost", "ost-steyr")
}

// startNodes starts two nodes in this process and returns them with their addresses for clients. The optional function
// returns the address that is listed for a link listener, for example that of a relay in front of it.
func startNodes(
	t testing.TB, upstreamAddresses []string, linkAddress ...func(net.Listener) string,
) ([]*loomnode.Node, []string) {
	t.Helper()
	const n = 2
	var upstreams []currantloom.PostgresUpstream
	for i, address := range upstreamAddresses {
		name := currantloom.UpstreamName(fmt.Sprintf("%s-%c", testDatabase, 'a'+i))
		upstreams = append(upstreams, currantloom.NewPostgresUpstream(name, testDatabase, address, nodeLocation(0)))
	}
	credentials := &loomentry.Credentials{}
	for _, organisation := range []currantloom.OrganisationName{"steyr", "rival"} {
		if err := credentials.Add(organisation, "secret"); err != nil {
			t.Fatal(err)
		}
	}
	clientListeners, linkListeners := listen(t, n), listen(t, n)
	var vms staticVMList
	for i := range n {
		address := linkListeners[i].Addr().String()
		for _, addressOf := range linkAddress {
			address = addressOf(linkListeners[i])
		}
		vms = append(vms, currantloom.NewVM(vmName(i), nodeLocation(i), address, "", currantloom.VMLive))
	}
	var nodes []*loomnode.Node
	var addresses []string
	for i := range n {
		node := loomnode.New(loomnode.Config{
			Reducer: loomcore.Config{Self: vmName(i), Location: nodeLocation(i), Databases: []currantloom.Database{
				currantloom.NewDatabase(testDatabase, upstreamSlots, 100, upstreams),
			}},
			Credentials: credentials, UpstreamUser: "currantloom", ClientListener: clientListeners[i],
			LinkListener: linkListeners[i], VMs: vms,
			ShutdownDelay: 50 * time.Millisecond, LogOutput: io.Discard,
		})
		done := make(chan error, 1)
		go func() { done <- node.Run(context.Background()) }()
		t.Cleanup(func() {
			_ = node.Close()
			if err := <-done; err != nil {
				t.Errorf("node ended with %v", err)
			}
		})
		nodes = append(nodes, node)
		addresses = append(addresses, clientListeners[i].Addr().String())
	}
	return nodes, addresses
}

func vmName(i int) currantloom.VMName { return currantloom.VMName(fmt.Sprintf("vm-%d", i+1)) }

// connectConfig returns the client configuration of the organisation steyr.
func connectConfig(t testing.TB, address string) *pgx.ConnConfig {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://steyr:secret@" + address + "/" + testDatabase + "?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	return config
}
