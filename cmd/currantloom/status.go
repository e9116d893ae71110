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
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	state := "ready"
	if !s.Ready {
		state = "stopping"
	}
	line("node %s, version %s, %s, up %s, rules revision %d",
		s.VM, s.Version, state, s.Uptime.Truncate(time.Second), s.Revision)
	line("\nVM\tREGION\tFAILURE DOMAIN\tSTATE\tCONTROL")
	for _, v := range s.VMs {
		line("%s\t%s\t%s\t%s\t%s", v.Name, v.Region, v.FailureDomain, vmState(v), v.ControlAddress)
	}
	line("\nDATABASE\tSERVER\tCARRIER\tROLE\tTERM\tPOSITION\tLAG\tHEARD\tRUNNING\tWAITING\tCONNECTIONS")
	for _, d := range s.Databases {
		for _, v := range d.Upstreams {
			printUpstream(line, d, v)
		}
	}
}

func vmState(v currantloom.VMReport) string {
	switch {
	case v.Leaving:
		return "leaving"
	case v.Unusable:
		return "no answer"
	default:
		return "live"
	}
}

// printUpstream prints one server. A node polls only the databases that it carries a server of; for others it knows the
// primary at most.
func printUpstream(line func(string, ...any), d currantloom.DatabaseReport, v currantloom.UpstreamReport) {
	role, term, position, lag, heard := "-", "-", "-", "-", "-"
	if v.Polled {
		role, term = v.Status.Role.String(), fmt.Sprint(v.Status.Term)
		position = fmt.Sprint(v.Status.Position.Index())
		heard = v.StatusAge.Truncate(time.Millisecond).String() + " ago"
		lag = replicationLag(d, v)
	} else if v.Name == d.Primary {
		role, term = currantloom.RolePrimary.String(), fmt.Sprint(d.Term)
	}
	if v.Leaving {
		role += ", leaving"
	}
	line("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d",
		d.Name, v.Name, v.Owner, role, term, position, lag, heard, v.Running, v.Waiting, v.Connections)
}

// replicationLag returns how many log entries the server is behind the primary.
func replicationLag(d currantloom.DatabaseReport, v currantloom.UpstreamReport) string {
	for _, p := range d.Upstreams {
		if p.Name == d.Primary && p.Polled && p.Name != v.Name {
			behind := max(0, int64(p.Status.Position.Index())-int64(v.Status.Position.Index()))
			return fmt.Sprintf("%d entries", behind)
		}
	}
	return "-"
}
