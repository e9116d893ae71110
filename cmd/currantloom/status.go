package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
)

func runStatus(ctx context.Context, o *options) error {
	if o.controlAddress == "" {
		return currantloom.ErrInput.New("the control address of a node is missing; give it with --node IP:port")
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	client := &loompeer.ControlClient{}
	defer func() { _ = client.Close() }()
	status, err := client.Status(ctx, o.controlAddress)
	if err != nil {
		return err
	}
	printStatus(os.Stdout, status)
	return nil
}

func printStatus(out io.Writer, s currantloom.NodeStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	state := "ready"
	if !s.Ready {
		state = "stopping"
	}
	printLine("node %s, version %s, %s, up %s, rules revision %d",
		s.VM, s.Version, state, s.Uptime.Truncate(time.Second), s.Revision)
	printLine("\nVM\tREGION\tFAILURE DOMAIN\tSTATE\tCONTROL")
	for _, vm := range s.VMs {
		printLine("%s\t%s\t%s\t%s\t%s", vm.Name, vm.Region, vm.FailureDomain, vmState(vm), vm.ControlAddress)
	}
	printLine("\nDATABASE\tSERVER\tCARRIER\tROLE\tTERM\tPOSITION\tLAG\tHEARD\tRUNNING\tWAITING\tCONNECTIONS")
	for _, database := range s.Databases {
		for _, upstream := range database.Upstreams {
			printUpstream(printLine, database, upstream)
		}
	}
}

func vmState(vm currantloom.VMReport) string {
	switch {
	case vm.Leaving:
		return "leaving"
	case vm.Unusable:
		return "no answer"
	default:
		return "live"
	}
}

// printUpstream prints the row of an upstream. A node polls only the databases of which it owns an upstream; of other
// databases it knows at most the primary.
func printUpstream(
	printLine func(string, ...any), database currantloom.DatabaseReport, upstream currantloom.UpstreamReport,
) {
	role, term, position, lag, statusAge := "-", "-", "-", "-", "-"
	if upstream.Polled {
		role, term = upstream.Status.Role.String(), fmt.Sprint(upstream.Status.Term)
		position = fmt.Sprint(upstream.Status.Position.Index())
		statusAge = upstream.StatusAge.Truncate(time.Millisecond).String() + " ago"
		lag = replicationLag(database, upstream)
	} else if upstream.Name == database.Primary {
		role, term = currantloom.RolePrimary.String(), fmt.Sprint(database.Term)
	}
	if upstream.Leaving {
		role += ", leaving"
	}
	printLine("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d",
		database.Name, upstream.Name, upstream.Owner, role, term, position, lag, statusAge, upstream.Running,
		upstream.Waiting, upstream.Connections)
}

// replicationLag returns how many log entries the upstream is behind the primary; "-" if the upstream is the primary or
// the position of the primary is not known.
func replicationLag(database currantloom.DatabaseReport, upstream currantloom.UpstreamReport) string {
	for _, other := range database.Upstreams {
		if other.Name == database.Primary && other.Polled && other.Name != upstream.Name {
			behind := max(0, int64(other.Status.Position.Index())-int64(upstream.Status.Position.Index()))
			return fmt.Sprintf("%d entries", behind)
		}
	}
	return "-"
}
