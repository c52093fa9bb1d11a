package org.cicadalead.adapters.work;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import org.cicadalead.adapters.http.HttpServers;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.ports.RecordStore.AppendOutcome;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/** Serves the requests of other processes. Safe for use by several threads. */
public final class PeerServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    /** Limit of a request: the records of one append of the store, and their keys. */
    private static final int MAX_REQUEST_BYTES = 1 << 22;

    private final HttpServer server;
    private final WorkCodec codec;
    private final SchedulingService scheduling;
    private final JobRequestService jobService;
    private final ConfigurationExchange configurations;
    private final DecisionLog log;

    /** Binds a server to an address and starts it. */
    public PeerServer(
            String address,
            int port,
            ExecutorService executor,
            WorkCodec codec,
            SchedulingService scheduling,
            JobRequestService jobService,
            ConfigurationExchange configurations,
            DecisionLog log) {
        this.server = HttpServers.bind(address, port);
        this.codec = codec;
        this.scheduling = scheduling;
        this.jobService = jobService;
        this.configurations = configurations;
        this.log = log;
        server.setExecutor(executor);
        server.createContext(PeerClient.PATH, this::handle);
        server.start();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Optional<PeerRequest> request =
                codec.decode(HttpServers.readBody(exchange, MAX_REQUEST_BYTES), PeerRequest.class);
        if (request.isEmpty()) {
            send(exchange, BAD_REQUEST, new byte[0]);
            return;
        }
        Calls.attempt(() -> createReply(request.get())).whenComplete((reply, failure) -> {
            try {
                if (failure == null) {
                    send(exchange, OK, codec.encode(reply));
                } else {
                    log.emit(EventKind.INTERNAL_FAILURE, EventDetail.of("peerRequest", failure));
                    send(exchange, INTERNAL_ERROR, new byte[0]);
                }
            } catch (IOException disconnected) {
                log.emit(EventKind.DEPENDENCY_LOST, EventDetail.of("peer", exchange.getRemoteAddress()));
            }
        });
    }

    private CompletableFuture<PeerReply> createReply(PeerRequest request) {
        return switch (request.kind()) {
            case PHASE ->
                CompletableFuture.completedFuture(
                        phaseOf(request.name(), request.access().orElse(JobAccess.UNRESTRICTED)));
            case WAITING -> CompletableFuture.completedFuture(waitingCount(request.name()));
            case STORE -> {
                List<KeyedRecord> batch = request.records().entrySet().stream()
                        .map(entry -> new KeyedRecord(entry.getKey(), entry.getValue(), -1))
                        .toList();
                yield jobService
                        .storeForPeer(batch)
                        .thenApply(outcome -> new PeerReply(true, Optional.empty(), 0, outcome));
            }
            case CONFIGURATION -> CompletableFuture.completedFuture(configurationFor(request));
            case WEIGHT -> CompletableFuture.completedFuture(weighOpenJobs());
        };
    }

    private PeerReply configurationFor(PeerRequest request) {
        long version = request.name().matches("-?[0-9]{1,18}") ? Long.parseLong(request.name()) : -1;
        return new PeerReply(
                true,
                Optional.empty(),
                0,
                AppendOutcome.REFUSED,
                Optional.of(configurations.onAsked(request.sender(), version)));
    }

    private PeerReply phaseOf(String job, JobAccess access) {
        return scheduling
                .ask(jobs -> jobs.findPhase(job, access))
                .filter(JobRequestService.JobAnswer::known)
                .map(jobAnswer -> new PeerReply(true, jobAnswer.phase(), 0, AppendOutcome.REFUSED))
                .orElse(PeerReply.UNKNOWN);
    }

    private PeerReply waitingCount(String queue) {
        return scheduling
                .ask(jobs -> jobs.waitingCount(queue))
                .flatMap(count -> count)
                .map(count -> new PeerReply(true, Optional.empty(), count, AppendOutcome.REFUSED))
                .orElse(PeerReply.UNKNOWN);
    }

    private PeerReply weighOpenJobs() {
        return scheduling
                .ask(JobsView::weighOpenJobs)
                .map(bytes -> new PeerReply(
                        true, Optional.empty(), 0, AppendOutcome.REFUSED, Optional.empty(), Optional.of(bytes)))
                .orElse(PeerReply.UNKNOWN);
    }

    private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        try (exchange) {
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
