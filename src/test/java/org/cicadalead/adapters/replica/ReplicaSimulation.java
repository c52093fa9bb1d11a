package org.cicadalead.adapters.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.ConfigurationState.VersionedUnit;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.PlatformLog;
import org.cicadalead.support.Commands;

/** Simulates several replicas and operators on one log, injects faults, and checks the invariants after every step. */
final class ReplicaSimulation {
    private static final int REPLICAS = 3;
    private static final int FILES = 3;
    private static final int READ_ITERATIONS = 8;
    private static final int RECOVERY_STEPS = 400;

    private final Random random = new Random(1);
    private final FaultyLog log = new FaultyLog();
    private final Set<Integer> cutLinks = new HashSet<>();
    private final FakeNetwork network = new FakeNetwork(this::isConnected);
    private final List<ReplicaUnderTest> replicas = new ArrayList<>();
    private final AcceptedCommandsOracle oracle = new AcceptedCommandsOracle();
    private final Map<ProcessIdentifier, Long> highestVersions = new HashMap<>();
    private final Map<Long, String> stateDigests = new HashMap<>();
    private final List<Publication> publications = new ArrayList<>();
    private final UnaryOperator<PlatformLog> firstReplicaMutation;
    private final Set<EventKind> observedEvents = EnumSet.noneOf(EventKind.class);
    private int startedProcessCount;
    private int publishedTextCount;

    ReplicaSimulation(UnaryOperator<PlatformLog> firstReplicaMutation) {
        this.firstReplicaMutation = firstReplicaMutation;
        for (int index = 0; index < REPLICAS; index++) {
            replicas.add(start(index == 0 ? firstReplicaMutation : UnaryOperator.identity()));
        }
    }

    void run(List<ReplicaSimulationStep> steps) {
        for (ReplicaSimulationStep step : steps) {
            step.action().perform(this, step.first(), step.second());
            check();
        }
        healAndCheckConvergence();
    }

    void read(int replica) {
        replica(replica).read();
    }

    void advance(int replica, int halfSeconds) {
        replica(replica).advance(Duration.ofMillis(500L * (1 + halfSeconds % 8)));
    }

    /** Lets every replica that is not paused read the log and run for several seconds. */
    void runActiveReplicas() {
        for (int iteration = 0; iteration < READ_ITERATIONS; iteration++) {
            for (ReplicaUnderTest replica : replicas) {
                replica.read();
                replica.advance(Duration.ofMillis(500));
            }
        }
    }

    void publish(int replica, int file) {
        ReplicaUnderTest entryReplica = replica(replica);
        String fileName = "file-" + file % FILES + ".toml";
        VersionedUnit current = entryReplica.state().configuration().units().get(fileName);
        ConfigurationUnit unit = Commands.team(fileName, 1 + ++publishedTextCount);
        submit(entryReplica, Commands.change(unit, current == null ? 0 : current.version()));
    }

    void remove(int replica, int file) {
        ReplicaUnderTest entryReplica = replica(replica);
        String fileName = "file-" + file % FILES + ".toml";
        VersionedUnit current = entryReplica.state().configuration().units().get(fileName);
        if (current != null) {
            submit(entryReplica, Commands.removal(fileName, current.version()));
        }
    }

    void replace(int replica) {
        int index = Math.floorMod(replica, REPLICAS);
        network.leave(replicas.get(index).process());
        replicas.set(index, start(index == 0 ? firstReplicaMutation : UnaryOperator.identity()));
    }

    void setOutage(boolean outage) {
        log.setOutage(outage);
    }

    void setCutFromPlatform(int replica, boolean cut) {
        replica(replica).setCutFromPlatform(cut);
    }

    void setPaused(int replica, boolean paused) {
        replica(replica).setPaused(paused);
    }

    void toggleLink(int first, int second) {
        int link = linkIndex(Math.floorMod(first, REPLICAS), Math.floorMod(second, REPLICAS));
        if (!cutLinks.remove(link)) {
            cutLinks.add(link);
        }
    }

    Set<EventKind> observedEvents() {
        return observedEvents;
    }

    FaultyLog log() {
        return log;
    }

    FakeNetwork network() {
        return network;
    }

    /**
     * Expires the records that the newest complete checkpoint covers, as a platform with sufficient retention would.
     */
    void expire() {
        long basis = 0;
        for (ReplicaUnderTest replica : replicas) {
            basis = Math.max(
                    basis,
                    replica.state()
                            .checkpoint()
                            .newest()
                            .map(newest -> newest.basis())
                            .orElse(0L));
        }
        log.expireBefore(basis + 1);
    }

    private void check() {
        oracle.addNewRecords(log.allRecords());
        replicas.forEach(this::checkReplica);
        publications.forEach(this::checkPublication);
    }

    private void checkReplica(ReplicaUnderTest replica) {
        SharedState state = replica.state();
        Map<String, String> digests = new TreeMap<>();
        state.configuration()
                .units()
                .forEach((name, versioned) -> digests.put(name, versioned.unit().textDigest()));
        assertEquals(oracle.digestsAfter(state.offset()), digests, "files at offset " + state.offset());
        long version = state.configuration().version();
        assertEquals(oracle.versionAfter(state.offset()), version, "version at offset " + state.offset());
        long highest = highestVersions.merge(replica.process(), version, Math::max);
        assertEquals(highest, version, "a process returned to an earlier configuration");
        assertFalse(
                observedEvents.contains(EventKind.CHECKPOINT_DIFFERS),
                "a checkpoint differs from the state at its basis");
    }

    private void checkPublication(Publication publication) {
        if (!publication.outcome().isDone()) {
            return;
        }
        Optional<Boolean> accepted = oracle.wasAccepted(publication.identifier());
        try {
            CommandOutcome outcome = publication.outcome().join();
            assertEquals(Optional.of(outcome instanceof CommandOutcome.Accepted), accepted);
        } catch (CompletionException failure) {
            ErrorKind kind = ((CicadaleadException) failure.getCause()).kind();
            boolean reportedNotAppended = kind == ErrorKind.PLATFORM_UNAVAILABLE;
            assertFalse(reportedNotAppended && accepted.isPresent(), "reported as not appended, but stored in the log");
        }
    }

    private void healAndCheckConvergence() {
        log.heal();
        network.heal();
        cutLinks.clear();
        for (ReplicaUnderTest replica : replicas) {
            replica.setPaused(false);
            replica.setCutFromPlatform(false);
        }
        for (int step = 0; step < RECOVERY_STEPS; step++) {
            for (ReplicaUnderTest replica : replicas) {
                replica.read();
                replica.advance(Duration.ofMillis(100));
            }
            check();
        }
        readWithoutAdvancingTime();
        for (ReplicaUnderTest replica : replicas) {
            assertEquals(log.endOffset(), replica.state().offset(), "a replica did not reach the end of the log");
            assertTrue(replica.isReady(), "a replica that reached the end is not ready");
            checkDigest(replica.state());
        }
        assertTrue(
                publications.stream()
                        .filter(publication -> isRunning(publication.writer()))
                        .allMatch(publication -> publication.outcome().isDone()),
                "a publication of a running process never completed");
    }

    /** Reads the records that folding itself appends, as the begin of a checkpoint does, without letting time pass. */
    private void readWithoutAdvancingTime() {
        for (int iteration = 0; iteration < READ_ITERATIONS; iteration++) {
            replicas.forEach(ReplicaUnderTest::read);
        }
    }

    private void checkDigest(SharedState state) {
        String digest = SnapshotCodec.digest(new SnapshotCodec().encode(state));
        assertEquals(stateDigests.computeIfAbsent(state.offset(), offset -> digest), digest);
    }

    private void submit(ReplicaUnderTest replica, UnitChange change) {
        if (replica.isPaused()) {
            return;
        }
        publications.add(replica.submitTracked(Commands.publish(change)));
    }

    private ReplicaUnderTest start(UnaryOperator<PlatformLog> mutation) {
        ProcessIdentifier process = new ProcessIdentifier("process-" + startedProcessCount++);
        ReplicaUnderTest replica = new ReplicaUnderTest(
                process, log, mutation, random, (kind, cause, details) -> observedEvents.add(kind));
        replica.connect(network.join(process, () -> replica.state().offset()));
        return replica;
    }

    private ReplicaUnderTest replica(int index) {
        return replicas.get(Math.floorMod(index, REPLICAS));
    }

    private boolean isConnected(ProcessIdentifier from, ProcessIdentifier to) {
        int first = indexOf(from);
        int second = indexOf(to);
        return first >= 0
                && second >= 0
                && !cutLinks.contains(linkIndex(first, second))
                && !replicas.get(second).isPaused();
    }

    private boolean isRunning(ProcessIdentifier process) {
        return indexOf(process) >= 0;
    }

    private int indexOf(ProcessIdentifier process) {
        for (int index = 0; index < replicas.size(); index++) {
            if (replicas.get(index).process().equals(process)) {
                return index;
            }
        }
        return -1;
    }

    private static int linkIndex(int first, int second) {
        return Math.min(first, second) * REPLICAS + Math.max(first, second);
    }
}
