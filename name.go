package currantloom

// VMName identifies one of the VMs that run a node.
type VMName string

// DatabaseName identifies a replicated database by the name that clients connect to.
type DatabaseName string

// UpstreamName identifies one upstream (a back-end database server); it is unique over all databases.
type UpstreamName string

// OrganisationName identifies an organisation, a tenant whose applications connect.
type OrganisationName string

// Region is a set of failure domains that are close to each other.
type Region string

// FailureDomain is a set of VMs and upstreams that may fail together, such as a zone.
type FailureDomain string

// Location is the region and failure domain of a VM or an upstream.
type Location struct {
	region        Region
	failureDomain FailureDomain
}

// NewLocation returns the location of a failure domain in a region.
func NewLocation(region Region, failureDomain FailureDomain) Location {
	return Location{region: region, failureDomain: failureDomain}
}

// Region returns the region.
func (l Location) Region() Region { return l.region }

// FailureDomain returns the failure domain.
func (l Location) FailureDomain() FailureDomain { return l.failureDomain }

// Distance returns 0 for the same failure domain, 1 for the same region and 2 for another region.
func (l Location) Distance(other Location) int {
	switch {
	case l == other:
		return 0
	case l.region == other.region:
		return 1
	default:
		return 2
	}
}
