// Command currantloom runs a node of the proxy. It also has the operators' commands: check files, apply rules, show a
// node's status, explain a request from a log, and run measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loommeasure"
	"currantloom.example/currantloom/platform"
)

var version = "0.1.0"

func main() {
	if err := runCommand(os.Args[1:]); err != nil {
		var fileErrors currantloom.FileErrors
		if errors.As(err, &fileErrors) {
			fmt.Fprintln(os.Stderr, fileErrors.Error())
		} else {
			fmt.Fprintln(os.Stderr, "currantloom:", currantloom.MessageOf(err))
		}
		os.Exit(1)
	}
}

// options holds the values of the flags and file arguments of all subcommands.
type options struct {
	settingsPath          string
	storeAddress          string
	controlAddress        string
	timeout               time.Duration
	afterRestore          bool
	once                  bool
	json                  bool
	capacity              bool
	seeds                 int
	routineLinesPerSecond int
	platformSettingsPath  string
	files                 [maxFiles]string
}

// maxFiles is the maximum number of file arguments. The flag library has no positional lists, so each argument needs a
// variable of its own.
const maxFiles = 16

// paths returns the file arguments that are set.
func (o *options) paths() []string {
	var paths []string
	for _, path := range o.files {
		if path != "" {
			paths = append(paths, path)
		}
	}
	return paths
}

// commands holds the argument parser, the subcommands and their options.
type commands struct {
	parser                                 *flaggy.Parser
	serve, check, rules, apply, show, diff *flaggy.Subcommand
	status, demo, measure                  *flaggy.Subcommand
	platform, explain                      *flaggy.Subcommand
	options                                options
}

func newCommands() *commands {
	c := &commands{parser: flaggy.NewParser("currantloom"), options: options{timeout: 30 * time.Second}}
	o := &c.options
	c.parser.Description = "Proxy that gives sessions read-your-writes consistency over replicated databases."
	c.parser.Version = version
	c.parser.AdditionalHelpAppend = "\n  Example: currantloom demo"
	c.serve = c.addSubcommand(nil, "serve", "Run one node.", "currantloom serve --settings node.yaml")
	c.serve.String(&o.settingsPath, "s", "settings", "path of the settings file")
	c.platform = c.addSubcommand(nil, "platform", "Run one node with the settings that the platform gives its process.",
		"currantloom platform")
	c.platform.String(&o.platformSettingsPath, "c", "check", "check a settings file of the platform and exit")
	c.explain = c.addSubcommand(nil, "explain", "Print the lines of a log on standard input that explain a request.",
		"currantloom explain 5c0e7a21d94b36f8 < node.log")
	c.explain.AddPositionalValue(&o.files[0], "ID", 1, true, "id of the statement, as the client sent it")
	c.platform.Int(&o.routineLinesPerSecond, "l", "log-rate", "log lines on ordinary work per second; 0 means 50")
	c.check = c.addSubcommand(nil, "check", "Check files: settings (.yaml, .yml) or rules (any other name).",
		"currantloom check node.yaml rules.txt")
	c.check.String(&o.settingsPath, "s", "settings", "settings whose databases, servers and callers rules may name")
	addFileArguments(c.check, o, maxFiles)
	c.rules = c.addSubcommand(nil, "rules", "Change or show the accepted rules.",
		"currantloom rules apply rules.txt --platform 10.0.9.1:8500")
	c.apply = c.addSubcommand(c.rules, "apply", "Store a rules file and wait until it is in force on all VMs.",
		"currantloom rules apply rules.txt --platform 10.0.9.1:8500")
	c.apply.Duration(&o.timeout, "t", "timeout", "time to wait for the store, and for the VMs")
	c.apply.Bool(&o.afterRestore, "", "after-restore",
		"accept that the store was restored and holds older rules than the nodes: continue from the nodes' revision")
	c.apply.String(&o.settingsPath, "s", "settings", "settings whose databases, servers and callers rules may name")
	addFileArguments(c.apply, o, 1)
	c.show = c.addSubcommand(c.rules, "show", "Print the stored rules; the revision goes to standard error.",
		"currantloom rules show --platform 10.0.9.1:8500 > rules.txt")
	c.diff = c.addSubcommand(c.rules, "diff",
		"Print the differences by rule, of the stored rules to a file or of two files.",
		"currantloom rules diff rules.txt --platform 10.0.9.1:8500")
	addFileArguments(c.diff, o, 2)
	for _, s := range []*flaggy.Subcommand{c.apply, c.show, c.diff} {
		s.String(&o.storeAddress, "p", "platform", "address (IP:port) of the platform's store")
	}
	c.status = c.addSubcommand(nil, "status", "Print what a node knows of VMs, databases and its own work.",
		"currantloom status --node 10.0.0.1:5434")
	c.status.String(&o.controlAddress, "n", "node", "control address (IP:port) of the node")
	c.status.Duration(&o.timeout, "t", "timeout", "time to wait for the node")
	c.demo = c.addSubcommand(nil, "demo", "Run a platform stand-in, two database groups and three nodes in this process.",
		"currantloom demo --once")
	c.measure = c.addSubcommand(nil, "measure", "Run the measures in virtual time, the policy against its baselines.",
		"currantloom measure --seeds 3")
	c.measure.Int(&o.seeds, "", "seeds", "runs of each measure, with different random numbers; 0 means 5")
	c.measure.Bool(&o.json, "j", "json", "print JSON")
	c.measure.Bool(&o.capacity, "c", "capacity",
		"measure what a node needs at several sizes instead, for docs/CAPACITY.md")
	c.demo.Bool(&o.once, "", "once", "run a scripted booking through two nodes, print what happened and exit")
	return c
}

func (c *commands) addSubcommand(parent *flaggy.Subcommand, name, description, example string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	s.AdditionalHelpAppend = "\n  Example: " + example
	if parent == nil {
		c.parser.AttachSubcommand(s, 1)
	} else {
		parent.AttachSubcommand(s, 1)
	}
	return s
}

func addFileArguments(s *flaggy.Subcommand, o *options, count int) {
	for i := range count {
		s.AddPositionalValue(&o.files[i], "FILE", i+1, false, "path of a file")
		s.PositionalFlags[i].Hidden = i > 0
	}
}

func runCommand(args []string) error {
	c := newCommands()
	if err := c.parser.ParseArgs(args); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	o := &c.options
	switch {
	case c.serve.Used:
		return runServe(ctx, o.settingsPath)
	case c.platform.Used && o.platformSettingsPath != "":
		_, err := platform.ReadSettingsFile(o.platformSettingsPath)
		return err
	case c.explain.Used:
		return runExplain(o.files[0])
	case c.platform.Used:
		return platform.Run(ctx, platform.Options{
			Log: os.Stdout, RoutineLinesPerSecond: o.routineLinesPerSecond, Version: version,
		})
	case c.check.Used:
		return runCheck(o)
	case c.apply.Used:
		return runApply(ctx, o)
	case c.show.Used:
		return runShow(ctx, o)
	case c.diff.Used:
		return runDiff(ctx, o)
	case c.status.Used:
		return runStatus(ctx, o)
	case c.measure.Used && o.capacity:
		return loommeasure.RunCapacity(os.Stdout, loommeasure.Options{JSON: o.json})
	case c.measure.Used:
		return loommeasure.Run(os.Stdout, loommeasure.Options{JSON: o.json, Seeds: o.seeds})
	case c.demo.Used:
		return runDemo(ctx, o.once)
	}
	c.parser.ShowHelp()
	return nil
}
