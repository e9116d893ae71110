package loommeasure

import (
	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// propagationSizes are the numbers of nodes in the measures of a rules change. With 8 nodes most regions have one node.
var propagationSizes = []int{8, 64, 256, designVMs}

func propagationMeasures() []capacityMeasure {
	return []capacityMeasure{
		{"pushes of a rules change", "messages", "node", propagationSizes, designVMs, func(n int) (float64, error) {
			r, err := propagateRules(n)
			return float64(r.messages), err
		}},
		{"most pushes of one node, rules change", "messages", "node", propagationSizes, designVMs,
			func(n int) (float64, error) {
				r, err := propagateRules(n)
				return float64(r.maxPushesPerNode), err
			}},
		{"hops of a rules change", "hops", "node", propagationSizes, designVMs, func(n int) (float64, error) {
			r, err := propagateRules(n)
			return float64(r.hops), err
		}},
		{"pushes between regions, rules change", "messages", "node", propagationSizes, designVMs,
			func(n int) (float64, error) {
				r, err := propagateRules(n)
				return float64(r.crossRegion), err
			}},
		{"watches on the rules", "watches", "node", propagationSizes, designVMs, func(n int) (float64, error) {
			r, err := propagateRules(n)
			return float64(r.watchers), err
		}},
	}
}

// propagation counts the messages of a rules change: all pushes, those between regions, the most of one node, the
// longest chain of pushes, and the nodes that watch the store.
type propagation struct{ messages, crossRegion, maxPushesPerNode, hops, watchers int }

// rulesPush is a push of the rules to a node. hop is the number of pushes before it; from is empty for the rules that
// a node reads from the store.
type rulesPush struct {
	from, to currantloom.VMName
	hop      int
}

// propagateRules delivers a rules change to the nodes that watch the store, and then all pushes that follow, without
// losing any.
func propagateRules(n int) (propagation, error) {
	b := newCoreBench(n, 0)
	states := make(map[currantloom.VMName]*loomcore.State)
	var result propagation
	var queue []rulesPush
	for _, vm := range b.vmSet.VMs {
		state := loomcore.New(loomcore.Config{Self: vm.Name(), Location: vm.Location()})
		states[vm.Name()] = state
		if e, ok := findEffect[loomcore.WatchRules](
			state.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: b.vmSet})); ok && e.Enabled {
			queue = append(queue, rulesPush{to: vm.Name()})
		}
	}
	result.watchers = len(queue)
	text := rulesText(4, 0)
	rules, err := loomrules.Parse(text)
	if err != nil {
		return result, err
	}
	document := currantloom.NewRulesDocument(1, "change", text)
	for ; len(queue) > 0; queue = queue[1:] {
		push := queue[0]
		e, ok := findEffect[loomcore.PushRules](states[push.to].Reduce(
			loomcore.RulesReceived{Stamp: b.stamp(), Document: document, Rules: rules, From: push.from}))
		if !ok {
			continue
		}
		result.hops = max(result.hops, push.hop+1)
		result.messages += len(e.VMs)
		result.maxPushesPerNode = max(result.maxPushesPerNode, len(e.VMs))
		sender, _ := states[push.to].VM(push.to)
		for _, vm := range e.VMs {
			queue = append(queue, rulesPush{from: push.to, to: vm, hop: push.hop + 1})
			if receiver, _ := states[push.to].VM(vm); receiver.Location().Region() != sender.Location().Region() {
				result.crossRegion++
			}
		}
	}
	for name, state := range states {
		if state.Rules().Revision() != 1 {
			return result, currantloom.ErrInput.New("the change did not reach %s", name)
		}
	}
	return result, nil
}
