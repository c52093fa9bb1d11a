package org.cicadalead.adapters.replica;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerChannel.PeerStatus;
import org.cicadalead.ports.PeerTopic;
import org.cicadalead.ports.PlatformLog.LogRecord;

/**
 * Sends records and snapshots to other processes, and fetches them from a process that is ahead while this process
 * receives nothing from the log. Fetched records and snapshots only ever move the state forward. Safe for use by
 * several threads.
 */
final class StateRelay {
    /** Time between two checks whether a peer is ahead. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_REPLY_BYTES = 256 << 10;

    private final ObjectMapper mapper = DomainMappers.messagePack();
    private final SnapshotCodec snapshotCodec;
    private final PeerChannel peers;
    private final SharedStateReplica replica;
    private final RecordFolder folder;
    private final EventSink events;
    private final Executor executor;
    private final AtomicBoolean catchUpRunning = new AtomicBoolean();
    private volatile long offsetAtLastCheck = -1;
    private volatile Optional<EncodedState> encodedState = Optional.empty();

    /**
     * Creates a relay and registers its handlers of calls. {@link #catchUpIfStalled} must be called once per
     * {@link #CHECK_INTERVAL}.
     */
    StateRelay(
            PeerChannel peers, SharedStateReplica replica, RecordFolder folder, EventSink events, Executor executor) {
        this.peers = peers;
        this.replica = replica;
        this.folder = folder;
        this.events = events;
        this.executor = executor;
        this.snapshotCodec = new SnapshotCodec();
        peers.registerHandler(PeerTopic.RECORDS, (caller, payload) -> replyAsync(() -> handleRecordsRequest(payload)));
        peers.registerHandler(
                PeerTopic.SNAPSHOT, (caller, payload) -> replyAsync(() -> handleSnapshotRequest(payload)));
    }

    /**
     * Returns the newest offset that a reachable process has applied; empty if no reachable process has applied any
     * record.
     */
    OptionalLong newestReachableOffset() {
        return peers.peers().stream()
                .filter(PeerStatus::reachable)
                .mapToLong(PeerStatus::appliedOffset)
                .filter(offset -> offset > 0)
                .max();
    }

    /** Catches up from a peer that is ahead if the state has not changed since the last check. */
    void catchUpIfStalled() {
        long offset = replica.state().offset();
        boolean isStalled = offset == offsetAtLastCheck;
        offsetAtLastCheck = offset;
        if (isStalled) {
            catchUp();
        }
    }

    /**
     * Fetches records from the reachable peer that is furthest ahead, or a snapshot when that peer no longer keeps the
     * records.
     */
    void catchUp() {
        long offset = replica.state().offset();
        Optional<ProcessIdentifier> source = peers.peers().stream()
                .filter(peer -> peer.reachable() && peer.appliedOffset() > offset)
                .max(Comparator.comparingLong(PeerStatus::appliedOffset))
                .map(PeerStatus::process);
        if (source.isEmpty() || !catchUpRunning.compareAndSet(false, true)) {
            return;
        }
        fetchRecords(source.get()).whenComplete((result, failure) -> catchUpRunning.set(false));
    }

    private CompletableFuture<Void> fetchRecords(ProcessIdentifier source) {
        RecordsRequest request = new RecordsRequest(replica.state().offset() + 1);
        return peers.call(source, PeerTopic.RECORDS, encode(request), CALL_TIMEOUT)
                .thenComposeAsync(
                        payload -> {
                            RecordsReply reply = decode(payload, RecordsReply.class);
                            if (!reply.covered()) {
                                return fetchSnapshot(source, 0, new ArrayList<>());
                            }
                            reply.records().forEach(record -> fold(source, record));
                            return CompletableFuture.completedFuture(null);
                        },
                        executor);
    }

    private void fold(ProcessIdentifier source, RelayedRecord record) {
        if (folder.fold(new LogRecord(record.offset(), record.payload()))) {
            events.emit(
                    EventKind.RECORD_RELAYED,
                    Optional.empty(),
                    EventDetail.of("from", source),
                    EventDetail.of("offset", record.offset()));
        }
    }

    private CompletableFuture<Void> fetchSnapshot(ProcessIdentifier source, long offset, List<byte[]> parts) {
        byte[] request = encode(new SnapshotRequest(offset, parts.size()));
        return peers.call(source, PeerTopic.SNAPSHOT, request, CALL_TIMEOUT)
                .thenComposeAsync(
                        payload -> {
                            SnapshotReply part = decode(payload, SnapshotReply.class);
                            boolean isNextPart = part.index() == parts.size() && part.count() > part.index();
                            boolean isSameState = offset == 0 || part.offset() == offset;
                            if (!isNextPart || !isSameState) {
                                return CompletableFuture.completedFuture(null);
                            }
                            parts.add(part.content());
                            if (parts.size() < part.count()) {
                                return fetchSnapshot(source, part.offset(), parts);
                            }
                            jumpTo(source, part, parts);
                            return CompletableFuture.completedFuture(null);
                        },
                        executor);
    }

    private void jumpTo(ProcessIdentifier source, SnapshotReply lastPart, List<byte[]> parts) {
        byte[] encoded = SnapshotParts.join(parts);
        if (!SnapshotCodec.digest(encoded).equals(lastPart.digest())) {
            return;
        }
        snapshotCodec.decode(encoded).ifPresent(state -> folder.jumpTo(state, source.value()));
    }

    private byte[] handleRecordsRequest(byte[] payload) throws IOException {
        RecordsRequest request = mapper.readValue(payload, RecordsRequest.class);
        Optional<List<LogRecord>> keptRecords = folder.readKeptRecords(request.fromOffset(), MAX_REPLY_BYTES);
        List<RelayedRecord> records = keptRecords.orElse(List.of()).stream()
                .map(record -> new RelayedRecord(record.offset(), record.payload()))
                .toList();
        return encode(new RecordsReply(keptRecords.isPresent(), records));
    }

    private byte[] handleSnapshotRequest(byte[] payload) throws IOException {
        SnapshotRequest request = mapper.readValue(payload, SnapshotRequest.class);
        EncodedState encoded = encodedState
                .filter(cached -> cached.offset() == request.offset())
                .orElseGet(this::encodeState);
        int index = Math.min(Math.max(request.index(), 0), encoded.parts().size() - 1);
        return encode(new SnapshotReply(
                encoded.offset(),
                index,
                encoded.parts().size(),
                encoded.digest(),
                encoded.parts().get(index)));
    }

    private EncodedState encodeState() {
        SharedState state = replica.state();
        byte[] content = snapshotCodec.encode(state);
        EncodedState encoded = new EncodedState(
                state.offset(), SnapshotCodec.digest(content), SnapshotParts.split(content, MAX_REPLY_BYTES));
        encodedState = Optional.of(encoded);
        return encoded;
    }

    private CompletableFuture<byte[]> replyAsync(ReplySupplier supplier) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return supplier.compute();
                    } catch (IOException malformed) {
                        throw new UncheckedIOException(malformed);
                    }
                },
                executor);
    }

    private byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private <T> T decode(byte[] payload, Class<T> type) {
        try {
            return mapper.readValue(payload, type);
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }

    @FunctionalInterface
    private interface ReplySupplier {
        byte[] compute() throws IOException;
    }

    private record EncodedState(long offset, String digest, List<byte[]> parts) {}

    private record RecordsRequest(long fromOffset) {}

    private record RecordsReply(boolean covered, List<RelayedRecord> records) {}

    @SuppressWarnings("ArrayRecordComponent")
    private record RelayedRecord(long offset, byte[] payload) {}

    private record SnapshotRequest(long offset, int index) {}

    @SuppressWarnings("ArrayRecordComponent")
    private record SnapshotReply(long offset, int index, int count, String digest, byte[] content) {}
}
