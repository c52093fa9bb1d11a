package org.cicadalead.adapters.work;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import org.cicadalead.adapters.work.JobRequestService.JobAnswer;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.TimerService;

/** Asks the scheduling process. Safe for use by several threads. */
public final class PeerClient {
    /** Longest wait for an answer: well within a caller's patience, and beyond a peer's round at the worst load. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    /** Calls in a row without an answer after which a peer is out; a single one may meet a closed connection. */
    private static final int FAILURE_THRESHOLD = 2;

    /** Time after which a peer that was out is asked again: a caller waits this long at most in vain. */
    private static final long OUTAGE_MILLISECONDS = 1_500;

    /** Age up to which an answer shows that the peer can be reached: a few of a caller's questions on its job. */
    private static final long RECENT_REPLY_MILLISECONDS = 3_000;

    /** Path of the questions. */
    static final String PATH = "/peer";

    private static final int OK = 200;

    private final HttpClient client;
    private final WorkCodec codec;
    private final String ownAddress;
    private final TimerService timers;
    private final Map<String, PathHealth> healthByAddress = new ConcurrentHashMap<>();

    /** Creates a client of the process that its peers reach at the given address. */
    public PeerClient(HttpClient client, WorkCodec codec, String ownAddress, TimerService timers) {
        this.timers = timers;
        this.client = client;
        this.codec = codec;
        this.ownAddress = ownAddress;
    }

    boolean isOwn(String address) {
        return ownAddress.equals(address);
    }

    /** Tells whether a peer has answered its newest question, and that lately. */
    boolean hasRepliedRecently(String address) {
        return healthOf(address).hasAnsweredWithin(RECENT_REPLY_MILLISECONDS, timers.nanoTime());
    }

    private PathHealth healthOf(String address) {
        return healthByAddress.computeIfAbsent(
                address, unseen -> new PathHealth(FAILURE_THRESHOLD, OUTAGE_MILLISECONDS));
    }

    CompletableFuture<JobAnswer> phaseOf(String address, String job) {
        return query(address, new PeerRequest(PeerRequest.Kind.PHASE, job, Map.of()))
                .thenApply(reply -> reply.filter(PeerReply::known)
                        .map(known -> JobAnswer.of(known.phase()))
                        .orElse(JobAnswer.UNAVAILABLE));
    }

    CompletableFuture<Optional<Integer>> waitingCount(String address, String queue) {
        return query(address, new PeerRequest(PeerRequest.Kind.WAITING, queue, Map.of()))
                .thenApply(reply -> reply.filter(PeerReply::known).map(PeerReply::count));
    }

    CompletableFuture<AppendOutcome> store(String address, List<KeyedRecord> batch) {
        Map<String, Optional<byte[]>> records = new HashMap<>();
        batch.forEach(entry -> records.put(entry.key(), entry.value()));
        return send(address, new PeerRequest(PeerRequest.Kind.STORE, "", records))
                .handle((reply, failure) -> failure == null
                        ? reply.map(PeerReply::stored).orElse(AppendOutcome.UNKNOWN)
                        : mayHaveBeenSent(failure) ? AppendOutcome.UNKNOWN : AppendOutcome.REFUSED);
    }

    private static boolean mayHaveBeenSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return !(cause instanceof ConnectException);
    }

    private CompletableFuture<Optional<PeerReply>> query(String address, PeerRequest question) {
        return send(address, question).exceptionally(unanswered -> Optional.empty());
    }

    /** Fails with a connect exception where nothing was sent, also because the peer has not answered for a while. */
    private CompletableFuture<Optional<PeerReply>> send(String address, PeerRequest question) {
        PathHealth path = healthOf(address);
        if (path.isUnavailable(timers.nanoTime())) {
            return CompletableFuture.failedFuture(new ConnectException("The peer has not answered for a while"));
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + PATH))
                .timeout(REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(codec.encode(question)))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete((response, failure) -> path.recordCall(failure == null, timers.nanoTime()))
                .thenApply(response -> response.statusCode() == OK
                        ? codec.decode(response.body(), PeerReply.class)
                        : Optional.<PeerReply>empty());
    }
}
