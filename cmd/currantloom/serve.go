package main

import (
	"context"
	"net"
	"os"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loomnode"
	"currantloom.example/currantloom/loomsettings"
	"currantloom.example/currantloom/loomstore"
)

func runServe(ctx context.Context, path string) error {
	if path == "" {
		return currantloom.ErrInput.New("serve needs --settings; see currantloom serve --help")
	}
	settings, err := loomsettings.Read(path)
	if err != nil {
		return err
	}
	config, err := nodeConfig(settings)
	if err != nil {
		return err
	}
	return loomnode.New(config).Run(ctx)
}

// nodeConfig returns the configuration of a node. It opens the listeners and creates the clients of the platform that
// the settings require.
func nodeConfig(s *loomsettings.Settings) (loomnode.Config, error) {
	credentials := &loomentry.Credentials{}
	for organisation, password := range s.OrganisationPasswords() {
		if err := credentials.Add(organisation, password); err != nil {
			return loomnode.Config{}, err
		}
	}
	level, err := log.ParseLevel(s.LogLevel())
	if err != nil {
		return loomnode.Config{}, err
	}
	c := loomnode.Config{
		Reducer: s.ReducerConfig(), Credentials: credentials,
		UpstreamUser: s.UpstreamUser(), UpstreamPassword: s.UpstreamPassword(),
		ShutdownDelay: s.ShutdownDelay(), Version: version, LogLevel: level, LogOutput: os.Stderr, VMs: s,
	}
	if address := s.PlatformAddress(); address != "" {
		c.RulesStore = loomstore.NewRulesStore(address)
		if !s.HasVMs() {
			c.VMs = loomstore.NewVMList(address)
		}
	}
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.ClientAddress(), &c.ClientListener}, {s.LinkAddress(), &c.LinkListener}, {s.ControlAddress(), &c.ControlListener},
		{s.HTTPAddress(), &c.HTTPListener},
	} {
		if l.address == "" {
			continue
		}
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return c, currantloom.ErrInput.New("listen: %v", err)
		}
	}
	return c, nil
}
