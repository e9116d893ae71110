// Package loommeasure measures the decisions of loomcore.
//
// Run simulates deployments in virtual time. Each node of a simulation is a real loomcore.State; upstreams and the
// network are small models. Baseline policies run on the same seeds for comparison.
//
// RunCapacity measures real processor time, memory and network bytes that a node needs at several fleet sizes.
//
// The simulation model: an upstream runs as many statements as it has slots at full speed; each further statement costs
// 5% of its throughput, which does not fall below half. Opening a connection takes the deployment's connect time.
// Messages inside a failure domain, between failure domains and between regions have a fixed latency each; messages
// between regions also share the bandwidth of the link. A replica applies an entry 0.5 to 2.5 ms after it arrives. At
// random times it falls behind by up to 400 ms, or up to 2 s in the measure of reads.
package loommeasure
