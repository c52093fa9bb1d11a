package org.cicadalead.bench.membership;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cicadalead.adapters.peer.PeerChannelOptions;
import org.cicadalead.adapters.peer.PeerIdentity;
import org.cicadalead.adapters.peer.TcpPeerChannel;
import org.cicadalead.adapters.security.SharedKeys;
import org.cicadalead.adapters.time.SystemTimerService;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.Member;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/** Measures the traffic and processor time of many peer channels over loopback. For use by one thread. */
public final class MembershipBench implements AutoCloseable {
    private static final int ZONES = 5;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final String KEY = "a key of the bench that protects nothing but costs the same";

    /** TCP and IP headers of a segment, and those of the acknowledgement that it causes. */
    private static final int OVERHEAD_BYTES_PER_FRAME = 52 + 52;

    private static final double PERCENT = 100;

    private final SystemTimerService timers = new SystemTimerService(failure -> {});
    private final List<TcpPeerChannel> channels = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final int partBytes;

    private MembershipBench(int count, int partBytes) {
        this.partBytes = partBytes;
        SharedKeys keys = SharedKeys.of(List.of(KEY));
        for (int number = 0; number < count; number++) {
            PeerChannelOptions options = new PeerChannelOptions(
                    new ProcessIdentifier("00000000-0000-4000-8000-" + String.format("%012d", number)),
                    new ZoneName("zone-" + number % ZONES),
                    new BindAddress("127.0.0.1", 0),
                    List.of(),
                    () -> members,
                    () -> TimeUnit.NANOSECONDS.toSeconds(System.nanoTime()),
                    () -> keys);
            TcpPeerChannel channel = new TcpPeerChannel(options, timers, (kind, cause, details) -> {});
            channel.addHeartbeatPart(PeerTopic.LOAD, () -> new byte[partBytes]);
            channels.add(channel);
        }
        for (TcpPeerChannel channel : channels) {
            PeerIdentity self = channel.self();
            long version = 1_000_000L + members.size();
            members.add(new Member(self.process(), version, self.zone(), self.address(), Optional.empty()));
        }
        channels.forEach(TcpPeerChannel::start);
    }

    /** Runs the bench with a number of members for a duration, after a warm-up. */
    public static MembershipBenchResult run(int members, int partBytes, Duration duration) {
        try (MembershipBench bench = new MembershipBench(members, partBytes)) {
            pause(WARM_UP);
            return bench.measure(duration);
        }
    }

    @Override
    public void close() {
        channels.forEach(TcpPeerChannel::close);
        timers.close();
    }

    private MembershipBenchResult measure(Duration duration) {
        List<ChannelCounts> initialCounts =
                channels.stream().map(ChannelCounts::of).toList();
        long processorBefore = processorTimeNanoseconds();
        long startNanoseconds = System.nanoTime();
        pause(duration);
        double seconds = (System.nanoTime() - startNanoseconds) / 1e9;
        double processorSeconds = (processorTimeNanoseconds() - processorBefore) / 1e9;
        double sentBytes = 0;
        double receivedBytes = 0;
        double frames = 0;
        double largestBytes = 0;
        for (int index = 0; index < channels.size(); index++) {
            ChannelCounts difference = ChannelCounts.of(channels.get(index)).minus(initialCounts.get(index));
            sentBytes += difference.sent();
            receivedBytes += difference.received();
            frames += difference.frames();
            largestBytes = Math.max(largestBytes, (double) difference.sent() + difference.received());
        }
        double scale = 1 / seconds / channels.size();
        double headerBytes = frames * OVERHEAD_BYTES_PER_FRAME;
        return new MembershipBenchResult(
                channels.size(),
                ZONES,
                partBytes,
                seconds,
                sentBytes * scale,
                receivedBytes * scale,
                largestBytes / seconds,
                frames * scale,
                (sentBytes + receivedBytes + headerBytes) * scale,
                PERCENT * processorSeconds * scale,
                channels.stream()
                        .mapToInt(TcpPeerChannel::connectionCount)
                        .average()
                        .orElse(0),
                channels.stream()
                        .mapToLong(MembershipBench::countReachablePeers)
                        .average()
                        .orElse(0));
    }

    private static long countReachablePeers(TcpPeerChannel channel) {
        return channel.peers().stream()
                .filter(PeerChannel.PeerStatus::reachable)
                .count();
    }

    private static long processorTimeNanoseconds() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static void pause(Duration duration) {
        try {
            TimeUnit.NANOSECONDS.sleep(duration.toNanos());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new CicadaleadException(ErrorKind.INTERNAL, "Interrupted", interrupted);
        }
    }

    /**
     * The traffic counts of a channel.
     *
     * @param sent bytes sent
     * @param received bytes received
     * @param frames frames sent and received
     */
    private record ChannelCounts(long sent, long received, long frames) {
        static ChannelCounts of(TcpPeerChannel channel) {
            return new ChannelCounts(
                    channel.counters().bytesSent(),
                    channel.counters().bytesReceived(),
                    channel.counters().framesSent() + channel.counters().framesReceived());
        }

        ChannelCounts minus(ChannelCounts other) {
            return new ChannelCounts(sent - other.sent, received - other.received, frames - other.frames);
        }
    }
}
