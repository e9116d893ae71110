// Package loomsettings reads the settings of a node of the PostgreSQL half from YAML.
//
// The table in keytable.go defines the keys of a file. Decoding is strict, so that a typing error never leaves a
// default in effect: unknown and repeated keys, values without a unit or out of range, and a region that nothing else
// in the file is in are errors. All errors in a file are reported, each with file, line and column. A syntax error is
// reported alone.
//
// The settings call an organisation a caller and an upstream a server.
package loomsettings

import (
	"cmp"
	"context"
	"net/url"
	"os"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// Settings holds the validated settings of a node.
type Settings struct {
	reducerConfig         loomcore.Config
	listenAddresses       map[string]string
	organisationPasswords map[currantloom.OrganisationName]string
	vms                   []currantloom.VM
	upstreamUser          string
	upstreamPassword      string
	platformAddress       string
	platformTimeout       time.Duration
	shutdownDelay         time.Duration
	logLevel              string
}

// ReducerConfig returns the configuration of the reducer.
func (s *Settings) ReducerConfig() loomcore.Config { return s.reducerConfig }

// ClientAddress returns the "IP:port" for client connections.
func (s *Settings) ClientAddress() string { return s.listenAddresses["callers"] }

// LinkAddress returns the "IP:port" for request links.
func (s *Settings) LinkAddress() string { return s.listenAddresses["links"] }

// ControlAddress returns the "IP:port" for the control protocol, empty if there is none.
func (s *Settings) ControlAddress() string { return s.listenAddresses["control"] }

// HTTPAddress returns the "IP:port" for liveness, readiness and metrics, empty if there is none.
func (s *Settings) HTTPAddress() string { return s.listenAddresses["http"] }

// PlatformAddress returns the "IP:port" of the platform's store and VM list, empty if there is none.
func (s *Settings) PlatformAddress() string { return s.platformAddress }

// PlatformTimeout returns the timeout of a call to the platform.
func (s *Settings) PlatformTimeout() time.Duration { return s.platformTimeout }

// OrganisationPasswords returns the passwords of the organisations.
func (s *Settings) OrganisationPasswords() map[currantloom.OrganisationName]string {
	return s.organisationPasswords
}

// UpstreamUser returns the user name for the upstreams.
func (s *Settings) UpstreamUser() string { return s.upstreamUser }

// UpstreamPassword returns the password for the upstreams.
func (s *Settings) UpstreamPassword() string { return s.upstreamPassword }

// ShutdownDelay returns the time within which the load balancer notices that the node is not ready.
func (s *Settings) ShutdownDelay() time.Duration { return s.shutdownDelay }

// LogLevel returns the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// HasVMs reports whether the settings hold a fixed list of VMs.
func (s *Settings) HasVMs() bool { return len(s.vms) > 0 }

// VMs implements currantloom.VMList with the fixed list of VMs. The list has index 1: a call after index 1 waits until
// the context ends.
func (s *Settings) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	if after == 1 {
		<-ctx.Done()
		return currantloom.VMSet{}, ctx.Err()
	}
	return currantloom.VMSet{VMs: s.vms, Index: 1}, nil
}

// Read reads the settings file at path. If the file can be read but is invalid, the error is a currantloom.FileErrors.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, currantloom.ErrInput.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses settings. The file name is used in error messages.
func Parse(name string, data []byte) (*Settings, error) {
	d := &decoder{file: name}
	root := d.decode(data)
	if root != nil {
		d.check(root)
	}
	if len(d.errors) > 0 {
		slices.SortStableFunc(d.errors, func(a, b currantloom.FileError) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, d.errors
	}
	return build(root), nil
}

func build(root *section) *Settings {
	s := &Settings{
		listenAddresses:       make(map[string]string),
		organisationPasswords: make(map[currantloom.OrganisationName]string),
		upstreamUser:          root.subsection("servers").text("user"),
		upstreamPassword:      root.subsection("servers").text("password"),
		platformAddress:       addressOf(root.subsection("platform").text("address")),
		platformTimeout:       root.subsection("platform").values["timeout"].duration,
		shutdownDelay:         root.subsection("stop").values["balancer-interval"].duration,
		logLevel:              root.subsection("log").text("level"),
		reducerConfig:         loomcore.Config{Self: currantloom.VMName(root.text("vm")), Location: locationOf(root)},
	}
	for name, v := range root.subsection("listen").values {
		s.listenAddresses[name] = v.text
	}
	for _, organisation := range root.values["callers"].sections {
		s.organisationPasswords[currantloom.OrganisationName(organisation.text("name"))] = organisation.text("password")
	}
	for _, v := range root.values["vms"].sections {
		s.vms = append(s.vms, currantloom.NewVM(
			currantloom.VMName(v.text("name")), locationOf(v), v.text("links"), v.text("control"), currantloom.VMLive))
	}
	for _, database := range root.values["databases"].sections {
		s.reducerConfig.Databases = append(s.reducerConfig.Databases, buildDatabase(database))
	}
	return s
}

func buildDatabase(database *section) currantloom.Database {
	name := currantloom.DatabaseName(database.text("name"))
	var upstreams []currantloom.PostgresUpstream
	for _, upstream := range database.values["servers"].sections {
		upstreams = append(upstreams, currantloom.NewPostgresUpstream(
			currantloom.UpstreamName(upstream.text("name")), name, upstream.text("address"), locationOf(upstream)))
	}
	return currantloom.NewDatabase(name, database.values["slots"].number, database.values["connections"].number, upstreams)
}

// addressOf returns the "IP:port" of a validated URL.
func addressOf(rawURL string) string {
	u, err := url.Parse(rawURL)
	if err != nil {
		return ""
	}
	return u.Host
}

func locationOf(s *section) currantloom.Location {
	return currantloom.NewLocation(
		currantloom.Region(s.text("region")), currantloom.FailureDomain(s.text("failure-domain")))
}
