package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurespring/azurespring/internal/testcerts"
	"github.com/azurespring/azurespring/pkg/gossip"
	"github.com/azurespring/azurespring/pkg/membership"
	"github.com/azurespring/azurespring/pkg/transport"
)

const (
	loopbackNodeCount = 24
	loopbackTime      = 10 * time.Second
	// joinSettleTime is long enough for connections that only served joins to close.
	joinSettleTime = 40 * time.Second
)

type loopbackNode struct {
	transport *transport.Transport
	members   *membership.Service
}

// startTransport returns a transport that is closed at the end of the benchmark.
func startTransport(b *testing.B, authority *testcerts.Authority, instance string) *transport.Transport {
	b.Helper()
	files, err := authority.IssueFiles(b.TempDir(), instance)
	if err != nil {
		b.Fatal(err)
	}
	source, err := transport.NewTLSSource(files.CertificatePath, files.KeyPath, files.CAPath)
	if err != nil {
		b.Fatal(err)
	}
	tr, err := transport.Listen(transport.Options{ListenAddress: "127.0.0.1:0", TLS: source})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = tr.Close(ctx)
	})
	return tr
}

func startLoopback(b *testing.B, ctx context.Context, authority *testcerts.Authority, i int) *loopbackNode {
	b.Helper()
	instance := fmt.Sprintf("n%02d", i)
	tr := startTransport(b, authority, instance)
	g := gossip.New(gossip.Options{Address: tr.Address(), Messenger: tr, RandomSeed: uint64(i)})
	m := membership.New(membership.Options{
		Self: membership.Member{
			Instance: instance, Address: tr.Address(), Region: fmt.Sprintf("r%d", i%2), FailureDomain: "a",
		},
		Messenger: tr, Gossip: g, RandomSeed: uint64(i),
	})
	var tasks sync.WaitGroup
	tasks.Go(func() { g.Run(ctx) })
	tasks.Go(func() { m.Run(ctx) })
	b.Cleanup(func() {
		tasks.Wait()
		_ = tr.Close(ctx)
	})
	return &loopbackNode{transport: tr, members: m}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLoopbackIdle reports what an idle node costs over loopback QUIC:
// control bytes with UDP and IP headers, and the CPU time of the process divided by the
// number of nodes. Run it with -benchtime 1x.
func BenchmarkLoopbackIdle(b *testing.B) {
	authority, err := testcerts.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		var nodes []*loopbackNode
		for i := range loopbackNodeCount {
			n := startLoopback(b, ctx, authority, i)
			var seeds []string
			if i > 0 {
				seeds = []string{nodes[0].transport.Address()}
			}
			if err := n.members.Join(ctx, seeds); err != nil {
				b.Fatal(err)
			}
			nodes = append(nodes, n)
		}
		time.Sleep(joinSettleTime)
		sent, received, cpu := sentControlBytes(nodes), receivedControlBytes(nodes), cpuTime(b)
		time.Sleep(loopbackTime)
		seconds := loopbackTime.Seconds() * loopbackNodeCount
		b.ReportMetric(float64(sentControlBytes(nodes)-sent)/seconds, "sent-B/node/s")
		b.ReportMetric(float64(receivedControlBytes(nodes)-received)/seconds, "received-B/node/s")
		b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "cpu-%/node")
		connections := 0
		for _, n := range nodes {
			connections += n.transport.Stats().OpenConnections
		}
		b.ReportMetric(float64(connections)/loopbackNodeCount, "connections/node")
		cancel()
	}
}

func sentControlBytes(nodes []*loopbackNode) (sum uint64) {
	for _, n := range nodes {
		sum += n.transport.Stats().Control.SentBytes
	}
	return sum
}

func receivedControlBytes(nodes []*loopbackNode) (sum uint64) {
	for _, n := range nodes {
		sum += n.transport.Stats().Control.ReceivedBytes
	}
	return sum
}

// BenchmarkCallLatency reports latency percentiles of calls with 1 KB each way between two
// nodes over loopback QUIC, without HTTP, at about 500 calls per second, and of the same
// exchange over open TCP connections in the same run. Only their ratio is comparable
// between instances and loads.
func BenchmarkCallLatency(b *testing.B) {
	authority, err := testcerts.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	client, server := startLoopback(b, ctx, authority, 0), startLoopback(b, ctx, authority, 1)
	server.transport.HandleCalls(echoCall)
	tcpEcho := newEchoClient(b)
	quicTimes, tcpTimes := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	var calls sync.WaitGroup
	body := make([]byte, callBytes)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for b.Loop() {
		<-ticker.C
		calls.Go(func() {
			recordDuration(b, quicTimes, func() error {
				return makeCall(ctx, client.transport, server.transport.Address(), body)
			})
		})
		<-ticker.C
		calls.Go(func() { recordDuration(b, tcpTimes, func() error { return tcpEcho.exchange(body) }) })
	}
	calls.Wait()
	for _, q := range []float64{50, 99} {
		quicTime, tcpTime := quicTimes.ValueAtQuantile(q), tcpTimes.ValueAtQuantile(q)
		b.ReportMetric(float64(quicTime)/1000, fmt.Sprintf("quic-p%.0f-us", q))
		b.ReportMetric(float64(tcpTime)/1000, fmt.Sprintf("tcp-p%.0f-us", q))
		b.ReportMetric(float64(quicTime)/float64(tcpTime), fmt.Sprintf("ratio-p%.0f", q))
	}
	cancel()
}

var histogramMu sync.Mutex

func recordDuration(b *testing.B, times *hdrhistogram.Histogram, call func() error) {
	start := time.Now()
	err := call()
	took := time.Since(start)
	if err != nil {
		b.Error(err)
		return
	}
	histogramMu.Lock()
	defer histogramMu.Unlock()
	_ = times.RecordValue(int64(took))
}

// echoClient holds open TCP connections to an echo server.
type echoClient struct{ idle chan net.Conn }

const (
	callBytes       = 1 << 10
	echoConnections = 64
)

func newEchoClient(b *testing.B) *echoClient {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	e := &echoClient{idle: make(chan net.Conn, echoConnections)}
	for range echoConnections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		e.idle <- conn
	}
	return e
}

func (e *echoClient) exchange(body []byte) error {
	conn := <-e.idle
	defer func() { e.idle <- conn }()
	if _, err := conn.Write(body); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(body)))
	return err
}

func echoCall(_ context.Context, _ transport.Peer, stream transport.Stream) {
	buffer := make([]byte, callBytes)
	if _, err := io.ReadFull(stream, buffer); err != nil {
		stream.Cancel()
		return
	}
	_, _ = stream.Write(buffer)
	_ = stream.CloseWrite()
}

func makeCall(ctx context.Context, t *transport.Transport, address string, body []byte) error {
	stream, err := t.OpenCall(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	if _, err := stream.Write(body); err != nil {
		return err
	}
	if err := stream.CloseWrite(); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, stream)
	return err
}
