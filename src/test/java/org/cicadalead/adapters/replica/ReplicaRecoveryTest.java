package org.cicadalead.adapters.replica;

import static org.cicadalead.support.Commands.change;
import static org.cicadalead.support.Commands.publish;
import static org.cicadalead.support.Commands.team;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.junit.jupiter.api.Test;

class ReplicaRecoveryTest {
    private static final String FILE = "kitchens.toml";

    private final FaultyLog log = new FaultyLog();
    private final FakeNetwork network = new FakeNetwork((from, to) -> true);
    private final List<ReplicaUnderTest> replicas = new ArrayList<>();

    @Test
    void isNotReadyAfterRestartUntilEndOfLogIsReached() {
        ReplicaUnderTest writer = startReplica("writer");
        publishAndRead(writer, 1, 0);
        ReplicaUnderTest restarted = startReplica("restarted");
        assertFalse(restarted.isReady());
        restarted.read();
        assertTrue(restarted.isReady());
        assertEquals(writer.state(), restarted.state());
    }

    @Test
    void fetchesStateFromPeerWhenPlatformIsUnavailableAtStart() {
        ReplicaUnderTest writer = startReplica("writer");
        publishAndRead(writer, 1, 0);
        log.setOutage(true);
        ReplicaUnderTest started = startReplica("started");
        runForTenSeconds(started);
        assertEquals(writer.state(), started.state());
        assertTrue(started.isReady());
    }

    @Test
    void isNotReadyWithoutPlatformAndPeers() {
        log.setOutage(true);
        ReplicaUnderTest started = startReplica("started");
        runForTenSeconds(started);
        assertFalse(started.isReady());
    }

    @Test
    void fetchesRecordsFromPeerWhileCutFromPlatform() {
        ReplicaUnderTest writer = startReplica("writer");
        ReplicaUnderTest disconnected = startReplica("cut");
        publishAndRead(writer, 1, 0);
        disconnected.read();
        disconnected.setCutFromPlatform(true);
        publishAndRead(writer, 2, 1);
        runForTenSeconds(disconnected);
        assertEquals(2, disconnected.state().configuration().version());
    }

    @Test
    void doesNotReturnToStateOfPeerThatIsBehind() {
        ReplicaUnderTest behind = startReplica("behind");
        ReplicaUnderTest ahead = startReplica("ahead");
        publishAndRead(ahead, 1, 0);
        behind.read();
        publishAndRead(ahead, 2, 1);
        ahead.setCutFromPlatform(true);
        runForTenSeconds(ahead);
        assertEquals(2, ahead.state().configuration().version());
        assertEquals(1, behind.state().configuration().version());
    }

    @Test
    void startsFromCheckpointWhenOldestRecordsHaveExpired() {
        ReplicaUnderTest writer = startReplica("writer");
        publishAndRead(writer, 1, 0);
        long basis = runUntilCheckpoint(writer);
        log.expireBefore(basis + 1);
        network.leave(writer.process());
        ReplicaUnderTest started = startReplica("started");
        runForTenSeconds(started);
        assertEquals(writer.state().configuration(), started.state().configuration());
        assertTrue(started.isReady());
    }

    @Test
    void doesNotReturnToCheckpointOlderThanOwnState() {
        ReplicaUnderTest writer = startReplica("writer");
        publishAndRead(writer, 1, 0);
        runUntilCheckpoint(writer);
        publishAndRead(writer, 2, 1);
        long version = writer.state().configuration().version();
        log.expireBefore(log.endOffset() + 1);
        runForTenSeconds(writer);
        assertEquals(version, writer.state().configuration().version());
    }

    @Test
    void doesNotFoldAcrossGapWithoutCheckpointOrPeer() {
        ReplicaUnderTest writer = startReplica("writer");
        publishAndRead(writer, 1, 0);
        publishAndRead(writer, 2, 1);
        network.leave(writer.process());
        log.expireBefore(2);
        ReplicaUnderTest started = startReplica("started");
        runForTenSeconds(started);
        assertEquals(0, started.state().offset());
        assertFalse(started.isReady());
    }

    @Test
    void appliesAppendOnceWhenReplyIsLost() {
        ReplicaUnderTest writer = startReplica("writer");
        writer.read();
        log.loseReplies(1);
        Publication publication = writer.submitTracked(publish(change(team(FILE, 1), 0)));
        runForTenSeconds(writer);
        assertInstanceOf(CommandOutcome.Accepted.class, publication.outcome().getNow(new CommandOutcome.Duplicate()));
        assertEquals(1, writer.state().configuration().version());
        long copyCount =
                log.allRecords().stream().filter(record -> record.offset() <= 2).count();
        assertEquals(2, copyCount);
    }

    private ReplicaUnderTest startReplica(String name) {
        ReplicaUnderTest replica = new ReplicaUnderTest(
                new ProcessIdentifier(name),
                log,
                UnaryOperator.identity(),
                new Random(1),
                (kind, cause, details) -> {});
        replica.connect(network.join(replica.process(), () -> replica.state().offset()));
        replicas.add(replica);
        return replica;
    }

    private static void publishAndRead(ReplicaUnderTest replica, int share, long replacedVersion) {
        replica.read();
        replica.submitTracked(publish(change(team(FILE, share), replacedVersion)));
        replica.advance(Duration.ofMillis(100));
        replica.read();
    }

    private static void runForTenSeconds(ReplicaUnderTest replica) {
        for (int iteration = 0; iteration < 20; iteration++) {
            replica.read();
            replica.advance(Duration.ofMillis(500));
        }
    }

    private static long runUntilCheckpoint(ReplicaUnderTest replica) {
        runForTenSeconds(replica);
        runForTenSeconds(replica);
        return replica.state().checkpoint().newest().orElseThrow().basis();
    }
}
