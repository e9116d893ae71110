package currantloom

import "context"

// VMState is the state of a VM in the platform's VM list.
type VMState uint8

// A leaving VM finishes its running requests and gets no new ones.
const (
	VMLive VMState = iota
	VMLeaving
)

// VM describes a VM that runs a node.
type VM struct {
	name           VMName
	location       Location
	linkAddress    string
	controlAddress string
	state          VMState
}

// NewVM returns the description of a VM. The addresses are the "IP:port" of its request links and of its control
// protocol.
func NewVM(name VMName, location Location, linkAddress, controlAddress string, state VMState) VM {
	return VM{name: name, location: location, linkAddress: linkAddress, controlAddress: controlAddress, state: state}
}

// Name returns the VM's name.
func (v VM) Name() VMName { return v.name }

// Location returns where the VM runs.
func (v VM) Location() Location { return v.location }

// LinkAddress returns the "IP:port" at which the node accepts request links.
func (v VM) LinkAddress() string { return v.linkAddress }

// ControlAddress returns the "IP:port" at which the node accepts the control protocol.
func (v VM) ControlAddress() string { return v.controlAddress }

// State returns the state in the platform's VM list.
func (v VM) State() VMState { return v.state }

// VMSet is one version of the platform's VM list: the VMs that run nodes, and the upstreams whose VMs are leaving.
// Index identifies the version.
type VMSet struct {
	VMs              []VM
	LeavingUpstreams []UpstreamName
	Index            uint64
}

// VMList reads the platform's list of live and leaving VMs, which may be out of date.
type VMList interface {
	// VMs returns the list as soon as its index differs from after, or unchanged after the platform's wait time.
	VMs(ctx context.Context, after uint64) (VMSet, error)
}
