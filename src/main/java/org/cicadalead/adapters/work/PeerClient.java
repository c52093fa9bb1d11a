package org.cicadalead.adapters.work;

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
import org.cicadalead.adapters.work.JobDesk.JobAnswer;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/** Asks the scheduling process. Safe for use by several threads. */
public final class PeerClient {
    /** Longest wait for an answer: well within a caller's patience, and beyond a peer's round at the worst load. */
    private static final Duration LIMIT = Duration.ofSeconds(1);

    /** Path of the questions. */
    static final String PATH = "/peer";

    private static final int OK = 200;

    private final HttpClient client;
    private final WorkCodec codec;
    private final String ownAddress;

    /** Creates a client of the process that its peers reach at the given address. */
    public PeerClient(HttpClient client, WorkCodec codec, String ownAddress) {
        this.client = client;
        this.codec = codec;
        this.ownAddress = ownAddress;
    }

    boolean isOwn(String address) {
        return ownAddress.equals(address);
    }

    CompletableFuture<JobAnswer> phaseOf(String address, String job) {
        return ask(address, new PeerRequest(PeerRequest.Kind.PHASE, job, Map.of()))
                .thenApply(reply -> reply.filter(PeerReply::known)
                        .map(known -> JobAnswer.of(known.phase()))
                        .orElse(JobAnswer.UNAVAILABLE));
    }

    CompletableFuture<Optional<Integer>> waitingCount(String address, String queue) {
        return ask(address, new PeerRequest(PeerRequest.Kind.WAITING, queue, Map.of()))
                .thenApply(reply -> reply.filter(PeerReply::known).map(PeerReply::count));
    }

    CompletableFuture<AppendOutcome> store(String address, List<KeyedRecord> batch) {
        Map<String, Optional<byte[]>> records = new HashMap<>();
        batch.forEach(entry -> records.put(entry.key(), entry.value()));
        return ask(address, new PeerRequest(PeerRequest.Kind.STORE, "", records))
                .thenApply(reply -> reply.map(PeerReply::stored).orElse(AppendOutcome.UNKNOWN));
    }

    private CompletableFuture<Optional<PeerReply>> ask(String address, PeerRequest question) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + PATH))
                .timeout(LIMIT)
                .POST(HttpRequest.BodyPublishers.ofByteArray(codec.encode(question)))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(response -> response.statusCode() == OK
                        ? codec.decode(response.body(), PeerReply.class)
                        : Optional.<PeerReply>empty())
                .exceptionally(unanswered -> Optional.empty());
    }
}
