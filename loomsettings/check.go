package loomsettings

// reserveOver is the number of connections of a server that are not for slots: 4 for control and 1 for a slot that is
// opened over the limit when a short statement runs for long.
const reserveOver = 5

// check reports faults that concern several values.
func (d *decoder) check(root *section) {
	d.checkUnique("caller", root.values["callers"].list)
	d.checkUnique("VM", root.values["vms"].list)
	d.checkUnique("database", root.values["databases"].list)
	var servers []*section
	for _, database := range root.values["databases"].list {
		servers = append(servers, database.values["servers"].list...)
		slots, connections := database.values["slots"], database.values["connections"]
		if slots.number > 0 && connections.number > 0 && connections.number < slots.number+reserveOver {
			d.fault(connections.position, "databases.connections: %d connections are too few for %d slots, want at least %d",
				connections.number, slots.number, slots.number+reserveOver)
		}
	}
	d.checkUnique("server", servers)
	d.checkPlaces(root, append(servers, root.values["vms"].list...))
	if len(root.values["vms"].list) == 0 && root.sub("platform").text("address") == "" {
		d.fault(root.position, "the settings name neither platform.address nor vms, so the node would know no VM")
	}
}

func (d *decoder) checkUnique(what string, list []*section) {
	lines := make(map[string]int)
	for _, s := range list {
		name, ok := s.values["name"]
		if !ok {
			continue
		}
		if first, ok := lines[name.text]; ok {
			d.fault(name.position, "%s %s is already on line %d", what, name.text, first)
			continue
		}
		lines[name.text] = name.position.Line
	}
}

// checkPlaces reports a region of this VM that nothing else is in, and a failure domain that is in two regions.
func (d *decoder) checkPlaces(root *section, others []*section) {
	known := make(map[string]bool)
	domains := make(map[string]string)
	for _, s := range others {
		known[s.text("region")] = true
		d.checkDomain(domains, s)
	}
	d.checkDomain(domains, root)
	if region, ok := root.values["region"]; ok && region.text != "" && !known[region.text] {
		d.fault(region.position, "region: unknown region %q; no database server or VM of the settings is in it", region.text)
	}
}

func (d *decoder) checkDomain(domains map[string]string, s *section) {
	domain, region := s.values["failure-domain"], s.text("region")
	if domain.text == "" || region == "" {
		return
	}
	if first, ok := domains[domain.text]; ok && first != region {
		d.fault(domain.position, "failure domain %s is in region %s elsewhere, here in %s", domain.text, first, region)
		return
	}
	domains[domain.text] = region
}
