// Command standin runs stand-ins of the external systems, for tests and for manual use: database servers and the
// platform's store and VM list.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"currantloom.example/currantloom/loomstandin"
)

func main() {
	if err := runCommand(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// databaseFlags holds the flags that the subcommands server and group share.
type databaseFlags struct {
	addresses     []string
	slots         int
	connections   int
	connectDelay  time.Duration
	statementTime time.Duration
	applyDelay    time.Duration
	networkDelay  time.Duration
}

func (f *databaseFlags) add(c *flaggy.Subcommand) {
	c.StringSlice(&f.addresses, "l", "listen", "address (IP:port) of a server")
	c.Int(&f.slots, "", "slots", "statements that run at a time; 0 means no limit")
	c.Int(&f.connections, "", "connections", "client connections; 0 means no limit")
	c.Duration(&f.connectDelay, "", "open-delay", "time to open a connection")
	c.Duration(&f.statementTime, "", "statement-time", "time a statement uses its slot")
	c.Duration(&f.applyDelay, "", "lag", "time after which a replica applies an entry it holds")
	c.Duration(&f.networkDelay, "", "delay", "delay of messages from the primary to a replica")
}

func (f *databaseFlags) options() loomstandin.Options {
	return loomstandin.Options{
		Slots: f.slots, MaxConnections: f.connections, ConnectDelay: f.connectDelay, StatementTime: f.statementTime,
		ApplyDelay: f.applyDelay, NetworkDelay: f.networkDelay,
	}
}

func (f *databaseFlags) listen() ([]net.Listener, error) {
	if len(f.addresses) == 0 {
		return nil, fmt.Errorf("no address; see --help")
	}
	var listeners []net.Listener
	for _, address := range f.addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

const groupExample = `
  Example, a group whose replicas lag by 100 ms:
    standin group --listen 127.0.0.1:6001 --listen 127.0.0.1:6002 --listen 127.0.0.1:6003 --lag 100ms
  Faults by hand, on any server: SELECT standin_lag(ms), standin_delay(ms), standin_statement_time(ms),
  standin_pause(ms), standin_close(), standin_fail_commit('before'|'after').`

const serverExample = `
  Example, the first primary and a replica of a new group, which keep their logs when they are killed and restarted:
    standin server --listen 127.0.0.1:6001 --bootstrap 127.0.0.1:6001 --journal a.log
    standin server --listen 127.0.0.1:6002 --bootstrap 127.0.0.1:6001 --journal b.log
  A server without journal and bootstrap counts as one that lost its disk.`

const platformExample = `
  Example, with a VM list that is 3 s late:
    standin platform --listen 127.0.0.1:8500 --lag 3s
    curl -X PUT -G 127.0.0.1:8500/standin/vms/vm-1 -d links=127.0.0.1:7001 -d control=127.0.0.1:7002 \
      -d region=ost -d failure-domain=ost-linz
  Faults by hand:
    curl -X POST '127.0.0.1:8500/standin/faults?down=true'      (also slow=500ms, lose-reply=true, lag=2s)
    curl -X POST 127.0.0.1:8500/standin/vms/vm-1/leave          (DELETE /standin/vms/vm-1 removes the VM)
    curl -X POST 127.0.0.1:8500/standin/servers/wheel-core-1-a/leave
    curl -X POST 127.0.0.1:8500/standin/restore/currantloom/rules`

func runCommand() error {
	var groupFlags, flags databaseFlags
	var bootstrap, journal string
	size := 3
	group := flaggy.NewSubcommand("group")
	group.Description = "Run a database group in one process; the first address is the primary."
	group.AdditionalHelpAppend = groupExample
	groupFlags.applyDelay = 100 * time.Millisecond
	groupFlags.add(group)
	server := flaggy.NewSubcommand("server")
	server.Description = "Run one server of a database group."
	server.AdditionalHelpAppend = serverExample
	flags.add(server)
	server.Int(&size, "", "size", "number of servers of the group")
	server.String(&bootstrap, "", "bootstrap", "address of a new group's first primary; ignored if the journal has a log")
	server.String(&journal, "", "journal", "file that keeps the log when the process is killed; not synced")
	var platformAddress string
	var listLag time.Duration
	platform := flaggy.NewSubcommand("platform")
	platform.Description = "Run the platform's key-value store and VM list."
	platform.AdditionalHelpAppend = platformExample
	platform.String(&platformAddress, "l", "listen", "address (IP:port)")
	platform.Duration(&listLag, "", "lag", "time after which a change of the VM list becomes visible")
	flaggy.SetName("standin")
	flaggy.SetDescription("Small fakes of the external systems of currantloom.")
	flaggy.AttachSubcommand(group, 1)
	flaggy.AttachSubcommand(server, 1)
	flaggy.AttachSubcommand(platform, 1)
	flaggy.Parse()
	switch {
	case group.Used:
		return runGroup(&groupFlags)
	case server.Used:
		return runServer(&flags, size, bootstrap, journal)
	case platform.Used:
		return runPlatform(platformAddress, listLag)
	}
	flaggy.ShowHelp("")
	return nil
}

func runGroup(f *databaseFlags) error {
	listeners, err := f.listen()
	if err != nil {
		return err
	}
	g, err := loomstandin.StartGroup(f.options(), listeners...)
	if err != nil {
		return err
	}
	awaitSignal()
	return g.Close()
}

func runServer(f *databaseFlags, size int, bootstrap, journal string) error {
	listeners, err := f.listen()
	if err != nil {
		return err
	}
	if len(listeners) != 1 {
		return fmt.Errorf("a server listens at one address")
	}
	o := f.options()
	o.Listener, o.Size, o.Bootstrap, o.Journal = listeners[0], size, bootstrap, journal
	s, err := loomstandin.Start(o)
	if err != nil {
		return err
	}
	awaitSignal()
	return s.Close()
}

func runPlatform(address string, lag time.Duration) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p := loomstandin.StartPlatform(listener, lag)
	awaitSignal()
	return p.Close()
}

// awaitSignal returns when the process receives SIGTERM or SIGINT.
func awaitSignal() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-ctx.Done()
}
