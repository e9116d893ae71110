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
	listen                map[string]string
	organisationPasswords map[currantloom.OrganisationName]string
	vms                   []currantloom.VM
	upstreamUser          string
	upstreamPassword      string
	platform              string
	platformTimeout       time.Duration
	shutdownDelay         time.Duration
	logLevel              string
}

// Core returns the settings of the reducer.
func (s *Settings) Core() loomcore.Config { return s.core }

// ClientAddress returns the "IP:port" for client connections.
func (s *Settings) ClientAddress() string { return s.listen["callers"] }

// LinkAddress returns the "IP:port" for request links.
func (s *Settings) LinkAddress() string { return s.listen["links"] }

// ControlAddress returns the "IP:port" for the control protocol, empty if there is none.
func (s *Settings) ControlAddress() string { return s.listen["control"] }

// HTTPAddress returns the "IP:port" for liveness, readiness and metrics, empty if there is none.
func (s *Settings) HTTPAddress() string { return s.listen["http"] }

// PlatformAddress returns the "IP:port" of the platform's store and VM list, empty if there is none.
func (s *Settings) PlatformAddress() string { return s.platform }

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
	if len(d.faults) > 0 {
		slices.SortStableFunc(d.faults, func(a, b currantloom.FileError) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, d.faults
	}
	return build(root), nil
}

func build(root *section) *Settings {
	s := &Settings{
		listen:                make(map[string]string),
		organisationPasswords: make(map[currantloom.OrganisationName]string),
		upstreamUser:          root.sub("servers").text("user"),
		upstreamPassword:      root.sub("servers").text("password"),
		platform:              hostOf(root.sub("platform").text("address")),
		platformTimeout:       root.sub("platform").values["timeout"].duration,
		shutdownDelay:         root.sub("stop").values["balancer-interval"].duration,
		logLevel:              root.sub("log").text("level"),
		core:                  loomcore.Config{Self: currantloom.VMName(root.text("vm")), Location: place(root)},
	}
	for name, v := range root.sub("listen").values {
		s.listen[name] = v.text
	}
	for _, c := range root.values["callers"].list {
		s.organisationPasswords[currantloom.OrganisationName(c.text("name"))] = c.text("password")
	}
	for _, v := range root.values["vms"].list {
		s.vms = append(s.vms, currantloom.NewVM(
			currantloom.VMName(v.text("name")), place(v), v.text("links"), v.text("control"), currantloom.VMLive))
	}
	for _, d := range root.values["databases"].list {
		s.core.Databases = append(s.core.Databases, buildDatabase(d))
	}
	return s
}

func buildDatabase(d *section) currantloom.Database {
	name := currantloom.DatabaseName(d.text("name"))
	var servers []currantloom.PostgresUpstream
	for _, v := range d.values["servers"].list {
		servers = append(servers, currantloom.NewPostgresUpstream(
			currantloom.UpstreamName(v.text("name")), name, v.text("address"), place(v)))
	}
	return currantloom.NewDatabase(name, d.values["slots"].number, d.values["connections"].number, servers)
}

// hostOf returns the "IP:port" of a URL that was checked.
func hostOf(address string) string {
	u, err := url.Parse(address)
	if err != nil {
		return ""
	}
	return u.Host
}

func place(s *section) currantloom.Location {
	return currantloom.NewLocation(
		currantloom.Region(s.text("region")), currantloom.FailureDomain(s.text("failure-domain")))
}
