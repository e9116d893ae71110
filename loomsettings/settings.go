// Package loomsettings reads a node's settings from YAML.
//
// The table of keys in key.go says what a file may hold. Reading is strict, so that a typing error never leaves a
// default in effect: an unknown or repeated key, a value without its unit or out of its bounds, and a name that
// nothing else defines are faults. All faults of a file are reported, each with file, line and column.
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

// Settings are a node's checked settings.
type Settings struct {
	core                  loomcore.Config
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

// Core returns the settings of the reducer.
func (s *Settings) Core() loomcore.Config { return s.core }

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

// PlatformTimeout returns the time for a call to the platform.
func (s *Settings) PlatformTimeout() time.Duration { return s.platformTimeout }

// OrganisationPasswords returns the callers' passwords.
func (s *Settings) OrganisationPasswords() map[currantloom.OrganisationName]string {
	return s.organisationPasswords
}

// UpstreamUser returns the user name at the database servers.
func (s *Settings) UpstreamUser() string { return s.upstreamUser }

// UpstreamPassword returns the password at the database servers.
func (s *Settings) UpstreamPassword() string { return s.upstreamPassword }

// ShutdownDelay returns the time in which the load balancer notices that the node is not ready.
func (s *Settings) ShutdownDelay() time.Duration { return s.shutdownDelay }

// LogLevel returns the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// HasVMs reports whether the settings hold a fixed list of VMs.
func (s *Settings) HasVMs() bool { return len(s.vms) > 0 }

// VMs returns the list of VMs in the settings; it never changes.
func (s *Settings) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	if after == 1 {
		<-ctx.Done()
		return currantloom.VMSet{}, ctx.Err()
	}
	return currantloom.VMSet{VMs: s.vms, Index: 1}, nil
}

// Read reads the settings file at path. The error is a currantloom.FileErrors if the file could be read.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, currantloom.ErrInput.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses settings. The name stands in the faults.
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
		platformAddress:       hostOf(root.subsection("platform").text("address")),
		platformTimeout:       root.subsection("platform").values["timeout"].duration,
		shutdownDelay:         root.subsection("stop").values["balancer-interval"].duration,
		logLevel:              root.subsection("log").text("level"),
		core:                  loomcore.Config{Self: currantloom.VMName(root.text("vm")), Location: locationOf(root)},
	}
	for name, v := range root.subsection("listen").values {
		s.listenAddresses[name] = v.text
	}
	for _, organisation := range root.values["callers"].list {
		s.organisationPasswords[currantloom.OrganisationName(organisation.text("name"))] = organisation.text("password")
	}
	for _, v := range root.values["vms"].list {
		s.vms = append(s.vms, currantloom.NewVM(
			currantloom.VMName(v.text("name")), locationOf(v), v.text("links"), v.text("control"), currantloom.VMLive))
	}
	for _, database := range root.values["databases"].list {
		s.core.Databases = append(s.core.Databases, buildDatabase(database))
	}
	return s
}

func buildDatabase(database *section) currantloom.Database {
	name := currantloom.DatabaseName(database.text("name"))
	var upstreams []currantloom.PostgresUpstream
	for _, upstream := range database.values["servers"].list {
		upstreams = append(upstreams, currantloom.NewPostgresUpstream(
			currantloom.UpstreamName(upstream.text("name")), name, upstream.text("address"), locationOf(upstream)))
	}
	return currantloom.NewDatabase(name, database.values["slots"].number, database.values["connections"].number, upstreams)
}

// hostOf returns the "IP:port" of a URL that was checked.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return u.Host
}

func locationOf(s *section) currantloom.Location {
	return currantloom.NewLocation(
		currantloom.Region(s.text("region")), currantloom.FailureDomain(s.text("failure-domain")))
}
