package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.cicadalead.logic.work.EarlierTerm;
import org.cicadalead.logic.work.HostsInUse;
import org.cicadalead.logic.work.SchedulingTerms;
import org.cicadalead.logic.work.account.KeyDigests;
import org.cicadalead.model.work.ClientAccount;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that the store refuses and that learns nothing, as the store refuses the leader too. All
 * processes here read nothing from the store; what one of them knows is put there by the test.
 */
class ConfigurationExchangeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final ManualTimerService timers = new ManualTimerService();
    private final List<Participant> processes = new ArrayList<>();

    @AfterEach
    void close() {
        processes.forEach(Participant::close);
    }

    /**
     * Returns a port below those that systems assign to outgoing connections, which could take it before it's bound.
     */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 0, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException inUse) {
                // The next port is tried.
            }
        }
    }

    private Participant start(Optional<Participant> leader) {
        Participant process = new Participant(leader.map(known -> known.address), timers);
        processes.add(process);
        return process;
    }

    private static FleetPlan plan(long version, boolean hasAccounts) {
        Optional<ClientAccounts> accounts = hasAccounts
                ? Optional.of(ClientAccounts.of(List.of(new ClientAccount(
                        "account", Set.of(KeyDigests.digest("key" + version)), 1, HostCapacity.NONE))))
                : Optional.empty();
        return new FleetPlan(version, Map.of(), Set.of(), Set.of(), 1_000, accounts);
    }

    /** Lets time pass, and the replies of the peers arrive, until a condition holds. */
    private void runUntil(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            timers.advance(Duration.ofMillis(250));
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }

    @Test
    void processLearnsFromAPeerThatOnlyTheLeaderKnewOf() throws InterruptedException {
        Participant leader = start(Optional.empty());
        Participant informed = start(Optional.of(leader));
        Participant refused = start(Optional.of(leader));
        for (Participant process : processes) {
            process.learn(plan(3, true));
        }
        runUntil(() -> leader.exchange.onAsked(Optional.empty(), 3).peers().contains(informed.address));
        informed.learn(plan(4, true));
        runUntil(() -> refused.feed.version() == 4 && leader.feed.version() == 4);
        assertTrue(refused.feed.withdrawnKeys().contains(KeyDigests.digest("key3")));
    }

    @Test
    void addressesThatAreNoneEndNoCheck() throws InterruptedException {
        Participant leader = start(Optional.empty());
        Participant refused = start(Optional.of(leader));
        for (String address : List.of("", "x", "300.1.1.1:70000", "127.0.0.1:99999", "127.0.0.1:1")) {
            leader.exchange.onAsked(Optional.of(address), 0);
        }
        refused.learn(plan(3, true));
        leader.learn(plan(4, true));
        runUntil(() -> refused.feed.version() == 4);
        leader.learn(plan(5, true));
        runUntil(() -> refused.feed.version() == 5);
    }

    @Test
    void deploymentWithoutAccountsAsksNobody() {
        Participant leader = start(Optional.empty());
        Participant other = start(Optional.of(leader));
        other.learn(plan(3, false));
        timers.advance(Duration.ofSeconds(60));
        assertFalse(leader.exchange.onAsked(Optional.empty(), 3).peers().contains(other.address));
        assertEquals(3, other.feed.version());
    }

    /** A process with the parts that serve and send requests of peers. */
    private static final class Participant {
        final String address;
        final OperatorFeed feed;
        final ConfigurationExchange exchange;
        private final ExecutorService threads = Executors.newCachedThreadPool();
        private final DecisionLog log =
                new DecisionLog(OutputStream.nullOutputStream(), "process", new WorkMetrics(new SimpleMeterRegistry()));
        private final SchedulingService scheduling;
        private final PeerServer server;

        Participant(Optional<String> leader, ManualTimerService timers) {
            int port = freePort();
            address = "127.0.0.1:" + port;
            MonitoredStore store =
                    new MonitoredStore(new InMemoryRecordStore(), timers, new WorkMetrics(new SimpleMeterRegistry()));
            WorkCodec codec = new WorkCodec(problem -> {});
            feed = new OperatorFeed(store, timers, new NoRecords(), log, 3_000, 6_000);
            scheduling = new SchedulingService(
                    SchedulingTermTest.createPorts(store), new SchedulingTerms(5_700, 6_000, 2_500, 6_000, 200, 2, 1));
            PeerClient client = new PeerClient(HttpClient.newHttpClient(), codec, address, timers);
            LeaderElection election = new LeaderElection(
                    store, codec, timers, log, new LeaderElection.Candidate("process", address, 0, 0), new Idle());
            exchange = new ConfigurationExchange(feed, client, () -> leader, timers, log);
            server = new PeerServer(
                    "127.0.0.1",
                    port,
                    threads,
                    codec,
                    scheduling,
                    new JobRequestService(
                            store, timers, new RequestTimeLimits(timers), codec, scheduling, client, election, log),
                    exchange,
                    log);
            exchange.start();
        }

        void learn(FleetPlan plan) {
            feed.onPeerReply(
                    new ConfigurationReply(Optional.of(plan), plan.version(), 0, List.of()),
                    feed.elapsedMilliseconds(),
                    "test");
        }

        void close() {
            exchange.close();
            server.close();
            scheduling.close();
            threads.shutdownNow();
            log.close();
        }
    }

    private static final class NoRecords implements OperatorFeed.Decoder {
        @Override
        public Optional<FleetPlan> decodePlan(RecordStore.KeyedRecord stored) {
            return Optional.empty();
        }

        @Override
        public Optional<MaintenanceWave> decodeWave(RecordStore.KeyedRecord stored) {
            return Optional.empty();
        }
    }

    private static final class Idle implements LeaderElection.Listener {
        @Override
        public void onElected(long epoch, Optional<EarlierTerm> earlierTerm) {}

        @Override
        public void onTermEnded() {}

        @Override
        public Optional<HostsInUse> hostsInUse(long epoch) {
            return Optional.empty();
        }

        @Override
        public void onAnnouncementStored(HostsInUse announced) {}

        @Override
        public Optional<HostsInUse> resign() {
            return Optional.empty();
        }
    }
}
