package main

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// benchNodes starts two nodes over a fake group and returns the addresses of the primary, of the node that carries it,
// and of the other node.
func benchNodes(b *testing.B) (direct, local, remote string) {
	b.Helper()
	_, servers := startFakeGroup(b)
	_, addresses := startNodes(b, 2, servers)
	awaitPrimary(b, addresses)
	return servers[0], addresses[0], addresses[1]
}

// benchConnect opens a connection.
func benchConnect(b *testing.B, address string) *pgx.Conn {
	b.Helper()
	conn, err := pgx.ConnectConfig(context.Background(), connectConfig(b, address))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// BenchmarkLatency reports the median and the 99th percentile of one write at a time. The server answers at once, which
// shows the cost of the hops alone, or after 1 ms, as one in the same failure domain does.
func BenchmarkLatency(b *testing.B) {
	direct, local, remote := benchNodes(b)
	for _, path := range []struct{ name, address, sql string }{
		{"instant/direct", direct, "insert into orders values ('a')"},
		{"instant/local", local, "insert into orders values ('a')"},
		{"instant/remote", remote, "insert into orders values ('a')"},
		{"1ms/direct", direct, "insert into orders values ('a') -- sleep(1)"},
		{"1ms/local", local, "insert into orders values ('a') -- sleep(1)"},
		{"1ms/remote", remote, "insert into orders values ('a') -- sleep(1)"},
	} {
		b.Run(path.name, func(b *testing.B) {
			conn := benchConnect(b, path.address)
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput reports statements per second of processor time. The process holds the clients and the fake
// servers too, so the share of the nodes is the difference to the direct path.
func BenchmarkThroughput(b *testing.B) {
	direct, local, remote := benchNodes(b)
	perStatement := make(map[string]time.Duration)
	for _, path := range []struct{ name, address string }{
		{"direct", direct}, {"local", local}, {"remote", remote},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.SetParallelism(2)
			cpu := cpuTime()
			b.RunParallel(func(pb *testing.PB) {
				conn := benchConnect(b, path.address)
				for pb.Next() {
					if _, err := conn.Exec(context.Background(), "insert into orders values ('a')"); err != nil {
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

// BenchmarkIdleConnections reports the memory of an idle client connection after it has run a statement. The other end
// is a raw socket without buffers in this process.
func BenchmarkIdleConnections(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, local, _ := benchNodes(b)
			for b.Loop() {
				before := memory()
				closers := idleClients(b, local, n)
				b.ReportMetric(float64(memory()-before)/float64(n), "bytes/connection")
				for _, c := range closers {
					c()
				}
			}
		})
	}
}

// memory returns the bytes in use on the heap and in stacks after a collection.
func memory() int64 {
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// idleClients opens connections, runs a statement on each and keeps only their sockets.
func idleClients(b *testing.B, address string, n int) []func() {
	b.Helper()
	var closers []func()
	for range n {
		conn, err := pgx.ConnectConfig(context.Background(), connectConfig(b, address))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Exec(context.Background(), "select 1"); err != nil {
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
