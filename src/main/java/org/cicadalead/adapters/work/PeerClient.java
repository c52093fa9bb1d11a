package org.cicadalead.adapters.work;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadalead.adapters.http.BoundedExchanges;
import org.cicadalead.adapters.work.JobRequestService.JobAnswer;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.TimerService;

/** Sends requests to peers, in particular to the leader. Safe for use by several threads. */
public final class PeerClient {
    /** Timeout of a request: well below a caller's timeout, but above a peer's scheduling cycle under peak load. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    /** Consecutive failures after which a peer is unavailable; a single one may be due to a closed connection. */
    private static final int FAILURE_THRESHOLD = 2;

    /** Time after which an unavailable peer is tried again; a caller waits needlessly for at most this long. */
    private static final long OUTAGE_MILLISECONDS = 1_500;

    /** Age up to which a reply shows that a peer is reachable; covers a few of a caller's queries for its job. */
    private static final long RECENT_REPLY_MILLISECONDS = 3_000;

    /** HTTP path of peer requests. */
    static final String PATH = "/peer";

    private static final int OK = 200;

    private final HttpClient client;
    private final WorkCodec codec;
    private final String ownAddress;
    private final TimerService timers;
    private final Map<String, PathHealth> healthByAddress = new ConcurrentHashMap<>();

    /** Creates a client for the process that its peers reach at the given address. */
    public PeerClient(HttpClient client, WorkCodec codec, String ownAddress, TimerService timers) {
        this.timers = timers;
        this.client = client;
        this.codec = codec;
        this.ownAddress = ownAddress;
    }

    String ownAddress() {
        return ownAddress;
    }

    boolean isOwn(String address) {
        return ownAddress.equals(address);
    }

    /** Returns whether a peer has replied to its newest request, and recently. */
    boolean hasRepliedRecently(String address) {
        return healthOf(address).hasAnsweredWithin(RECENT_REPLY_MILLISECONDS, timers.nanoTime());
    }

    private PathHealth healthOf(String address) {
        return healthByAddress.computeIfAbsent(
                address, newAddress -> new PathHealth(FAILURE_THRESHOLD, OUTAGE_MILLISECONDS));
    }

    CompletableFuture<JobAnswer> findPhase(String address, String job, JobAccess access) {
        return query(
                        address,
                        new PeerRequest(PeerRequest.Kind.PHASE, job, Map.of(), Optional.of(access), Optional.empty()))
                .thenApply(reply -> reply.filter(PeerReply::known)
                        .map(knownReply -> JobAnswer.of(knownReply.phase()))
                        .orElse(JobAnswer.UNAVAILABLE));
    }

    CompletableFuture<Optional<Integer>> waitingCount(String address, String queue) {
        return query(address, new PeerRequest(PeerRequest.Kind.WAITING, queue, Map.of()))
                .thenApply(reply -> reply.filter(PeerReply::known).map(PeerReply::count));
    }

    /** Asks a peer for the weight of all open jobs in bytes; empty if it does not know it. */
    CompletableFuture<Optional<Long>> weighOpenJobs(String address) {
        return query(address, new PeerRequest(PeerRequest.Kind.WEIGHT, "", Map.of()))
                .thenApply(reply -> reply.flatMap(PeerReply::weightBytes));
    }

    /** Asks a peer for a configuration that is newer than a version; empty if the peer does not reply. */
    CompletableFuture<Optional<ConfigurationReply>> askConfiguration(String address, long version) {
        return query(
                        address,
                        new PeerRequest(
                                PeerRequest.Kind.CONFIGURATION,
                                Long.toString(version),
                                Map.of(),
                                Optional.empty(),
                                Optional.of(ownAddress)))
                .thenApply(reply -> reply.flatMap(PeerReply::configuration));
    }

    CompletableFuture<AppendOutcome> store(String address, List<KeyedRecord> batch) {
        Map<String, Optional<byte[]>> records = new HashMap<>();
        batch.forEach(entry -> records.put(entry.key(), entry.value()));
        return send(address, new PeerRequest(PeerRequest.Kind.STORE, "", records))
                .handle((reply, failure) -> failure == null
                        ? reply.map(PeerReply::stored).orElse(AppendOutcome.UNKNOWN)
                        : BoundedExchanges.showsNothingSent(failure) ? AppendOutcome.REFUSED : AppendOutcome.UNKNOWN);
    }

    private CompletableFuture<Optional<PeerReply>> query(String address, PeerRequest request) {
        return send(address, request).exceptionally(failure -> Optional.empty());
    }

    /**
     * Sends a request; the result fails without sending it with a {@link ConnectException} if the peer is unavailable,
     * and with an {@link IllegalArgumentException} if the address is none.
     */
    private CompletableFuture<Optional<PeerReply>> send(String address, PeerRequest peerRequest) {
        PathHealth path = healthOf(address);
        if (path.isUnavailable(timers.nanoTime())) {
            return CompletableFuture.failedFuture(
                    new ConnectException("The peer is unavailable: it has not replied to the latest requests"));
        }
        HttpRequest request;
        try {
            request = HttpRequest.newBuilder(URI.create("http://" + address + PATH))
                    .timeout(REQUEST_TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofByteArray(codec.encode(peerRequest)))
                    .build();
        } catch (IllegalArgumentException unusableAddress) {
            return CompletableFuture.failedFuture(unusableAddress);
        }
        path.recordStart(timers.nanoTime());
        return BoundedExchanges.send(client, request)
                .whenComplete((response, failure) -> path.recordCall(failure == null, timers.nanoTime()))
                .thenApply(response -> response.statusCode() == OK
                        ? codec.decode(response.body(), PeerReply.class)
                        : Optional.<PeerReply>empty());
    }
}
