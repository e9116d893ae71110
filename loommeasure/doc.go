// Package loommeasure measures the decision core in virtual time: real states of loomcore as nodes, small fakes of
// database servers and of the network around them, and baselines on the same seeds.
//
// RunCapacity measures real time, memory and bytes instead: what a node needs at several sizes of the fleet.
//
// The model: a server runs as many statements as it has slots at full speed; each one more costs 5% of its throughput.
// A connection takes the deployment's time to open. Messages between failure domains and regions take the deployment's
// latency; those between regions also share the bandwidth of the link. A replica applies an entry a few milliseconds
// after it arrives, and falls behind by up to 400 ms, or 2 s in the measure of reads, now and then.
package loommeasure
