package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loomnode"
	"currantloom.example/currantloom/loomstandin"
	"currantloom.example/currantloom/loomstore"
)

const (
	demoApplyDelay = 300 * time.Millisecond
	demoPassword   = "secret"
	demoRules      = `read wheel-core-* max-age 5s               # demo: reads may be up to 5 s old
share wheel-core-1 caller steyr weight 2   # demo: steyr gets twice the share of linz
`
)

// demo is a small deployment in one process: a platform stand-in, two database groups and three nodes.
type demo struct {
	platform    *loomstandin.Platform
	groups      []*loomstandin.Group
	nodes       []*loomnode.Node
	nodeConfigs []loomnode.Config
	running     sync.WaitGroup
}

func runDemo(ctx context.Context, once bool) error {
	d := &demo{}
	err := d.start(once)
	if err == nil && once {
		err = d.runBooking(ctx, os.Stdout)
	} else if err == nil {
		err = d.applyRules(ctx, io.Discard)
		d.printInstructions(os.Stdout)
		<-ctx.Done()
	}
	return errors.Join(err, d.close())
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (d *demo) start(once bool) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	d.platform = loomstandin.StartPlatform(listener, 0)
	var databases []currantloom.Database
	for i := range 2 {
		database, err := d.startGroup(fmt.Sprint("wheel-core-", i+1))
		if err != nil {
			return err
		}
		databases = append(databases, database)
	}
	for i := range 3 {
		if err := d.startNode(fmt.Sprint("vm-", i+1), demoLocations[i], databases, once); err != nil {
			return err
		}
	}
	return nil
}

var demoLocations = []currantloom.Location{
	currantloom.NewLocation("ost", "ost-linz"), currantloom.NewLocation("ost", "ost-steyr"),
	currantloom.NewLocation("west", "west-ibk"),
}

func (d *demo) startGroup(name string) (currantloom.Database, error) {
	var listeners []net.Listener
	var upstreams []currantloom.PostgresUpstream
	for i, location := range demoLocations {
		l, err := listenLoopback()
		if err != nil {
			return currantloom.Database{}, err
		}
		listeners = append(listeners, l)
		upstream := currantloom.UpstreamName(fmt.Sprintf("%s-%c", name, 'a'+i))
		upstreams = append(upstreams, currantloom.NewPostgresUpstream(
			upstream, currantloom.DatabaseName(name), l.Addr().String(), location))
	}
	group, err := loomstandin.StartGroup(
		loomstandin.Options{Slots: 2, MaxConnections: 16, ApplyDelay: demoApplyDelay}, listeners...)
	if err != nil {
		return currantloom.Database{}, err
	}
	d.groups = append(d.groups, group)
	return currantloom.NewDatabase(currantloom.DatabaseName(name), 2, 16, upstreams), nil
}

func (d *demo) startNode(
	name string, location currantloom.Location, databases []currantloom.Database, once bool,
) error {
	credentials := &loomentry.Credentials{}
	for _, organisation := range []currantloom.OrganisationName{"steyr", "linz"} {
		if err := credentials.Add(organisation, demoPassword); err != nil {
			return err
		}
	}
	c := loomnode.Config{
		Reducer:     loomcore.Config{Self: currantloom.VMName(name), Location: location, Databases: databases},
		Credentials: credentials, UpstreamUser: "currantloom", Version: version,
		LogLevel: log.WarnLevel, LogOutput: os.Stderr,
		RulesStore: loomstore.NewRulesStore(d.platform.Address()), VMs: loomstore.NewVMList(d.platform.Address()),
	}
	if once {
		// There is no load balancer here that has to notice the stop first.
		c.ShutdownDelay = 10 * time.Millisecond
	}
	for _, l := range []*net.Listener{&c.ClientListener, &c.LinkListener, &c.ControlListener, &c.HTTPListener} {
		var err error
		if *l, err = listenLoopback(); err != nil {
			return err
		}
	}
	d.platform.RegisterVM(name, c.LinkListener.Addr().String(), c.ControlListener.Addr().String(),
		string(location.Region()), string(location.FailureDomain()))
	node := loomnode.New(c)
	d.nodes = append(d.nodes, node)
	d.nodeConfigs = append(d.nodeConfigs, c)
	d.running.Go(func() {
		if err := node.Run(context.Background()); err != nil {
			fmt.Fprintf(os.Stderr, "node %s: %v\n", name, err)
		}
	})
	return nil
}

// close stops the nodes concurrently, then the stand-ins.
func (d *demo) close() error {
	var closing sync.WaitGroup
	for _, n := range d.nodes {
		closing.Go(func() { _ = n.Close() })
	}
	closing.Wait()
	d.running.Wait()
	var errs []error
	for _, g := range d.groups {
		errs = append(errs, g.Close())
	}
	if d.platform != nil {
		errs = append(errs, d.platform.Close())
	}
	return errors.Join(errs...)
}

// applyRules applies the rules of the demo in the same way as the command "rules apply".
func (d *demo) applyRules(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "currantloom-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "rules.txt")
	if err := os.WriteFile(path, []byte(demoRules), 0o600); err != nil {
		return err
	}
	text, rules, err := readRules(path, nil)
	if err != nil {
		return err
	}
	o := &options{storeAddress: d.platform.Address(), timeout: 10 * time.Second}
	a := newRulesApplier(loomstore.NewRulesStore(o.storeAddress), loomstore.NewVMList(o.storeAddress), o, out)
	defer a.close()
	return a.run(ctx, text, rules)
}

// printInstructions prints the addresses of the nodes and some commands to try.
func (d *demo) printInstructions(out io.Writer) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printLine("Two databases, wheel-core-1 and wheel-core-2, of three servers each; replicas lag by %s.", demoApplyDelay)
	printLine("Three nodes; callers steyr and linz, password %q:", demoPassword)
	for _, c := range d.nodeConfigs {
		printLine("  %s  postgres://steyr:%s@%s/wheel-core-1?sslmode=disable",
			c.Reducer.Self, demoPassword, c.ClientListener.Addr())
		printLine("        metrics http://%s/metrics, status: currantloom status --node %s",
			c.HTTPListener.Addr(), c.ControlListener.Addr())
	}
	printLine("Rules:  currantloom rules show --platform %s", d.platform.Address())
	printLine("Try:    INSERT INTO orders VALUES ('castor-1', 'booked')")
	printLine("        SHOW currantloom.token, and SET currantloom.token = '...' on another node before")
	printLine("        SELECT value FROM orders WHERE id = 'castor-1'")
	printLine("Stop with Ctrl-C.")
}
