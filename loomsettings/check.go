package loomsettings

// reservedConnections is the number of connections to an upstream that are not for slots: 4 for control calls and 1 for
// a slot that is opened beyond the limit when a short statement runs for long.
const reservedConnections = 5

// check reports errors that concern several values.
func (d *decoder) check(root *section) {
	d.checkUnique("caller", root.values["callers"].sections)
	d.checkUnique("VM", root.values["vms"].sections)
	d.checkUnique("database", root.values["databases"].sections)
	var upstreams []*section
	for _, database := range root.values["databases"].sections {
		upstreams = append(upstreams, database.values["servers"].sections...)
		slots, connections := database.values["slots"], database.values["connections"]
		if slots.number > 0 && connections.number > 0 && connections.number < slots.number+reservedConnections {
			d.errorf(connections.position, "databases.connections: %d connections are too few for %d slots, want at least %d",
				connections.number, slots.number, slots.number+reservedConnections)
		}
	}
	d.checkUnique("server", upstreams)
	d.checkLocations(root, append(upstreams, root.values["vms"].sections...))
	if len(root.values["vms"].sections) == 0 && root.subsection("platform").text("address") == "" {
		d.errorf(root.position, "the settings name neither platform.address nor vms, so the node would know no VM")
	}
}

func (d *decoder) checkUnique(description string, sections []*section) {
	lines := make(map[string]int)
	for _, s := range sections {
		name, ok := s.values["name"]
		if !ok {
			continue
		}
		if first, ok := lines[name.text]; ok {
			d.errorf(name.position, "%s %s is already on line %d", description, name.text, first)
			continue
		}
		lines[name.text] = name.position.Line
	}
}

// checkLocations reports a region of this VM that contains no upstream and no VM of the settings, and failure domains
// that are in two regions.
func (d *decoder) checkLocations(root *section, sections []*section) {
	regions := make(map[string]bool)
	regionOfDomain := make(map[string]string)
	for _, s := range sections {
		regions[s.text("region")] = true
		d.checkFailureDomain(regionOfDomain, s)
	}
	d.checkFailureDomain(regionOfDomain, root)
	if region, ok := root.values["region"]; ok && region.text != "" && !regions[region.text] {
		d.errorf(region.position, "region: unknown region %q; no database server or VM of the settings is in it", region.text)
	}
}

func (d *decoder) checkFailureDomain(regionOfDomain map[string]string, s *section) {
	domain, region := s.values["failure-domain"], s.text("region")
	if domain.text == "" || region == "" {
		return
	}
	if first, ok := regionOfDomain[domain.text]; ok && first != region {
		d.errorf(domain.position, "failure domain %s is in region %s elsewhere, here in %s", domain.text, first, region)
		return
	}
	regionOfDomain[domain.text] = region
}
