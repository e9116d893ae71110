package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// startBenchNodes starts two nodes and a stand-in group. It returns the addresses of the primary, of the node that owns
// it, and of the other node.
func startBenchNodes(b *testing.B) (primary, local, remote string) {
	b.Helper()
	upstreamAddresses, direct := startGroup(b)
	_, addresses := startNodes(b, upstreamAddresses)
	awaitPrimary(b, addresses)
	if _, err := direct.Exec(context.Background(), "INSERT INTO orders VALUES ('a', 0)"); err != nil {
		b.Fatal(err)
	}
	return upstreamAddresses[0], addresses[0], addresses[1]
}

// connectBench opens a connection to a node, or to the primary if the address is direct. With aged, reads through a
// node accept an age of 5 s.
func connectBench(b *testing.B, address, direct string, aged bool) *pgx.Conn {
	b.Helper()
	config := connectConfig(b, address)
	if address != direct && aged {
		config.RuntimeParams["currantloom.token"] = "none"
		config.RuntimeParams["currantloom.max_age"] = "5s"
	}
	conn, err := pgx.ConnectConfig(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// The statements of the benchmarks. The write waits until a replica has confirmed it; the read waits for no other
// database server.
const (
	readStatement  = "SELECT n FROM orders WHERE id = 'a'"
	writeStatement = "UPDATE orders SET n = n + 1 WHERE id = 'a'"
)

// startByteRelay starts a relay in this process that only copies bytes between its clients and the address, and returns
// its own address. Its latency is the minimum cost of a hop: two system calls to read, two to write and two wake-ups.
func startByteRelay(b *testing.B, address string) string {
	b.Helper()
	l := listen(b, 1)[0]
	var copies sync.WaitGroup
	b.Cleanup(copies.Wait)
	copyBytes := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				_ = client.Close()
				return
			}
			copies.Go(func() { copyBytes(server, client) })
			copies.Go(func() { copyBytes(client, server) })
		}
	}()
	return l.Addr().String()
}

// BenchmarkLatency reports the median and the 99th percentile of the latency of single statements. A read that accepts
// an age runs on a replica and costs one round trip on each path. A session read accepts no age and runs on the
// primary, which asks a replica to confirm the term; the direct path has no such step. The relays show the cost of a
// hop that only copies bytes.
func BenchmarkLatency(b *testing.B) {
	direct, local, remote := startBenchNodes(b)
	relayed := startByteRelay(b, direct)
	twice := startByteRelay(b, relayed)
	for _, path := range []struct {
		name, address, sql string
		aged               bool
	}{
		{"read/direct", direct, readStatement, true},
		{"read/one-relay", relayed, readStatement, false},
		{"read/two-relays", twice, readStatement, false},
		{"read/local", local, readStatement, true},
		{"read/remote", remote, readStatement, true},
		{"session-read/local", local, readStatement, false},
		{"session-read/remote", remote, readStatement, false},
		{"write/direct", direct, writeStatement, true},
		{"write/local", local, writeStatement, true},
		{"write/remote", remote, writeStatement, true},
	} {
		b.Run(path.name, func(b *testing.B) {
			conn := connectBench(b, path.address, direct, path.aged)
			times := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for b.Loop() {
				start := time.Now()
				if _, err := conn.Exec(context.Background(), path.sql); err != nil {
					b.Fatal(err)
				}
				times = append(times, time.Since(start))
			}
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1000, "median-us")
			b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1000, "p99-us")
		})
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput reports statements per second of processor time. The clients and the stand-in database servers
// run in the same process, so the cost of the nodes is the difference from the direct path.
func BenchmarkThroughput(b *testing.B) {
	direct, local, remote := startBenchNodes(b)
	perStatement := make(map[string]time.Duration)
	for _, path := range []struct{ name, address string }{
		{"direct", direct}, {"local", local}, {"remote", remote},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.SetParallelism(2)
			cpu := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				conn := connectBench(b, path.address, direct, true)
				for pb.Next() {
					if _, err := conn.Exec(context.Background(), writeStatement); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.StopTimer()
			perStatement[path.name] = (cpuTime() - cpu) / time.Duration(b.N)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
			b.ReportMetric(float64(perStatement[path.name].Nanoseconds())/1000, "cpu-us/statement")
			if added := perStatement[path.name] - perStatement["direct"]; added > 0 {
				b.ReportMetric(float64(time.Second)/float64(added), "statements/core-second")
			}
		})
	}
}

// BenchmarkIdleConnections reports the memory of an idle client connection that has run a statement. The client's end
// is a raw socket in this process, without buffers.
func BenchmarkIdleConnections(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, local, _ := startBenchNodes(b)
			for b.Loop() {
				before := memoryInUse()
				closers := openIdleClients(b, local, n)
				b.ReportMetric(float64(memoryInUse()-before)/float64(n), "bytes/connection")
				for _, c := range closers {
					c()
				}
			}
		})
	}
}

// memoryInUse returns the bytes in use on the heap and in stacks after garbage collection.
func memoryInUse() int64 {
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// openIdleClients opens connections, runs a statement on each and keeps only their sockets. It returns functions that
// close them.
func openIdleClients(b *testing.B, address string, n int) []func() {
	b.Helper()
	var closers []func()
	for range n {
		conn, err := pgx.ConnectConfig(context.Background(), connectConfig(b, address))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Exec(context.Background(), "SELECT 1"); err != nil {
			b.Fatal(err)
		}
		h, err := conn.PgConn().Hijack()
		if err != nil {
			b.Fatal(err)
		}
		socket := h.Conn
		closers = append(closers, func() { _ = socket.Close() })
	}
	return closers
}
