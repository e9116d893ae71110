package loomhost

import (
	"encoding/json"
	"strings"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
	"currantloom.example/currantloom/loomlog"
)

// decodeChanges decodes items into an event. From is the node that passed them on; empty if this node has read them. An
// item that cannot be decoded is logged; if it is the registration of an upstream, the upstream is reported as gone.
func (c *storeCache) decodeChanges(
	from currantloom.VMName, items []currantloom.StoreItem, snapshot bool, position currantloom.StorePosition,
) loomfleet.CatalogChanged {
	e := loomfleet.CatalogChanged{Stamp: c.node.stamp(), Snapshot: snapshot, Position: position, From: from}
	for _, item := range items {
		switch name, isNode := strings.CutPrefix(item.Key, nodeKeyPrefix); {
		case isNode:
			c.addNode(&e, item, currantloom.VMName(name))
		case item.Key == failoverLeaseKey:
			c.addFailoverLease(&e, item)
		case item.Key == changeRecordKey:
			c.addChangeRecord(&e, item)
		default:
			c.addCatalogItem(&e, item)
		}
	}
	return e
}

func (c *storeCache) addNode(e *loomfleet.CatalogChanged, item currantloom.StoreItem, name currantloom.VMName) {
	change := loomfleet.MemberChange{
		VM:       currantloom.NewVM(name, currantloom.Location{}, "", "", currantloom.VMLive),
		Position: item.Position, Deleted: item.Deleted,
	}
	if !item.Deleted {
		record, err := decodeNode(item.Value)
		if err != nil {
			c.logIgnoredItem(item, err)
			return
		}
		location := currantloom.NewLocation(
			currantloom.Region(record.Region), currantloom.FailureDomain(record.FailureDomain))
		change.VM = currantloom.NewVM(name, location, record.Address, "", currantloom.VMLive)
		change.Incarnation = record.Incarnation
	}
	e.Members = append(e.Members, change)
}

// decodeNode decodes the value of a node's key.
func decodeNode(value []byte) (nodeRecord, error) {
	var record nodeRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nodeRecord{}, err
	}
	return record, currantloom.CheckAddress(record.Address)
}

// addFailoverLease adds the record of the failover lease. A malformed one names no holder.
func (c *storeCache) addFailoverLease(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	change := loomfleet.FailoverLeaseChange{Position: item.Position, Deleted: item.Deleted}
	if !item.Deleted {
		var record failoverLeaseRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			c.logIgnoredItem(item, err)
			record = failoverLeaseRecord{}
		}
		change.Holder, change.Incarnation = currantloom.VMName(record.Holder), record.Incarnation
	}
	e.FailoverLease = &change
}

// addChangeRecord adds the record of changes of primary. A malformed one is ignored: the record that this node knows
// stays.
func (c *storeCache) addChangeRecord(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	record := loomfleet.ChangeRecord{Position: item.Position}
	if !item.Deleted {
		var value changeRecordValue
		if err := json.Unmarshal(item.Value, &value); err != nil {
			c.logIgnoredItem(item, err)
			return
		}
		for _, name := range value.Services {
			record.Services = append(record.Services, currantloom.ServiceName(name))
		}
	}
	e.ChangeRecord = &record
}

func (c *storeCache) addCatalogItem(e *loomfleet.CatalogChanged, item currantloom.StoreItem) {
	if configuration, ok, err := c.node.config.Catalog.Configuration(item); err != nil {
		c.logInvalidConfiguration(item, err)
		return
	} else if ok {
		e.Configuration = &configuration
		return
	}
	u, ok, err := c.node.config.Catalog.Upstream(item)
	if err != nil {
		c.logIgnoredItem(item, err)
	}
	if ok {
		e.Upstreams = append(e.Upstreams, loomfleet.UpstreamChange{
			Upstream: u, Position: item.Position, Deleted: item.Deleted || err != nil,
		})
	}
}

// logIgnoredItem logs an item that cannot be decoded. An item is read more than once, but logged once.
func (c *storeCache) logIgnoredItem(item currantloom.StoreItem, err error) {
	c.mu.Lock()
	logged := c.ignored[item.Key] == item.Position && !item.Position.IsZero()
	if len(c.ignored) >= maxIgnoredItems {
		clear(c.ignored)
	}
	c.ignored[item.Key] = item.Position
	c.mu.Unlock()
	if logged {
		return
	}
	c.node.log.Enqueue(loomlog.Line{Event: "item", Warn: true, Fields: []any{
		"key", item.Key, "version", item.Position, "reason", err, "outcome", "ignored",
	}})
}

// logInvalidConfiguration logs a configuration that is not used. A configuration is read more than once, but logged
// once.
func (c *storeCache) logInvalidConfiguration(item currantloom.StoreItem, err error) {
	c.mu.Lock()
	logged := c.invalidConfiguration == item.Position
	c.invalidConfiguration = item.Position
	c.mu.Unlock()
	if !logged {
		c.node.log.Enqueue(loomlog.Line{Event: "configuration", Warn: true, Fields: []any{
			"version", item.Position, "reason", currantloom.MessageOf(err), "outcome", "ignored",
		}})
	}
}
