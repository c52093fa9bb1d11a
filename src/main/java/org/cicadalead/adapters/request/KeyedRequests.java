package org.cicadalead.adapters.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cicadalead.adapters.codec.MessagePackMessageCodec;
import org.cicadalead.adapters.request.KeyMessage.KeyReply;
import org.cicadalead.adapters.request.KeyMessage.KeyRequest;
import org.cicadalead.adapters.request.KeyMessage.Verb;
import org.cicadalead.logic.request.KeyLedger;
import org.cicadalead.logic.request.KeyLedger.KeyStatus;
import org.cicadalead.logic.request.KeyVerdict;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.error.Execution;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/**
 * Ensures a single run for all requests with the same idempotency key, whichever entry process receives them. The home
 * of the key grants the run and is told how it ended before the caller is. Any failure to reach the home results in an
 * unknown outcome, and nothing is run. Safe for use by several threads.
 */
final class KeyedRequests {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final RequestPorts ports;
    private final PeerChannel channel;
    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();
    private final KeyLedger<StoredResponse> ledger;
    private final AtomicLong nextClaim = new AtomicLong();
    private final Queue<RunEnd> unsentRunEnds = new ConcurrentLinkedQueue<>();

    KeyedRequests(RequestPorts ports, PeerChannel channel) {
        this.ports = ports;
        this.channel = channel;
        this.ledger = new KeyLedger<>(ports.process());
        channel.registerHandler(PeerTopic.KEYED_REQUEST, (caller, payload) -> handleRequest(
                        caller, messages.decode(payload, KeyRequest.class))
                .thenApply(messages::encode));
    }

    /** Updates the members and resends the run ends that were not acknowledged. Called by the timer. */
    void onTick() {
        synchronized (ledger) {
            updateMembers();
        }
        for (int count = unsentRunEnds.size(); count > 0; count--) {
            Optional.ofNullable(unsentRunEnds.poll()).ifPresent(this::sendRunEnd);
        }
    }

    /**
     * Claims the run of a request from the home of its key. The returned future never fails. The end of a granted claim
     * must be reported.
     */
    CompletableFuture<Claim> claim(ServiceName service, RequestHead head, RequestBody body) {
        String key = service + "\n" + head.idempotencyKey().orElseThrow();
        long claimNumber = nextClaim.incrementAndGet();
        KeyRequest request;
        Optional<ProcessIdentifier> home;
        synchronized (ledger) {
            updateMembers();
            home = ledger.findHome(key);
            request = new KeyRequest(
                    Verb.CLAIM,
                    key,
                    digest(head, body),
                    claimNumber,
                    ledger.membersDigest(),
                    KeyVerdict.IN_PROGRESS,
                    Optional.empty());
        }
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new Claim(request, ports.process(), new KeyReply(KeyVerdict.OUTCOME_UNKNOWN, Optional.empty())));
        }
        ProcessIdentifier homeProcess = home.get();
        return send(homeProcess, request)
                .thenApply(reply -> new Claim(request, homeProcess, reply))
                .exceptionally(failure -> {
                    // The home may have granted the claim; as nothing was run, the key is freed again.
                    reportRunEnd(
                            new Claim(request, homeProcess, outcomeUnknownReply()),
                            KeyVerdict.NOT_KNOWN,
                            Optional.empty());
                    return new Claim(request, homeProcess, outcomeUnknownReply());
                });
    }

    /** Returns a listener that reports to the home how a granted run ended. */
    ResponseListener listenerFor(Claim claim) {
        return new ResponseListener() {
            @Override
            public void onResponse(StoredResponse response) {
                reportRunEnd(claim, KeyVerdict.ANSWERED, Optional.of(response));
            }

            @Override
            public void onUnstoredResponse() {
                reportRunEnd(claim, KeyVerdict.ANSWERED_WITHOUT_COPY, Optional.empty());
            }

            @Override
            public void onFailed(ErrorKind kind) {
                boolean notRun = kind.execution() == Execution.NOT_RUN;
                reportRunEnd(claim, notRun ? KeyVerdict.NOT_KNOWN : KeyVerdict.OUTCOME_UNKNOWN, Optional.empty());
            }
        };
    }

    private void reportRunEnd(Claim claim, KeyVerdict verdict, Optional<StoredResponse> response) {
        KeyRequest claimRequest = claim.request();
        sendRunEnd(new RunEnd(
                claim.home(),
                new KeyRequest(
                        Verb.END,
                        claimRequest.key(),
                        claimRequest.digest(),
                        claimRequest.claim(),
                        claimRequest.members(),
                        verdict,
                        response)));
    }

    private void sendRunEnd(RunEnd runEnd) {
        send(runEnd.home(), runEnd.request()).whenComplete((reply, failure) -> {
            boolean isMember = ports.state().get().members().containsKey(runEnd.home());
            if (failure != null && isMember) {
                unsentRunEnds.add(runEnd);
            }
        });
    }

    private CompletableFuture<KeyReply> send(ProcessIdentifier process, KeyRequest request) {
        if (process.equals(ports.process())) {
            return handleRequest(process, request);
        }
        return channel.call(process, PeerTopic.KEYED_REQUEST, messages.encode(request), TIMEOUT)
                .thenApply(payload -> messages.decode(payload, KeyReply.class));
    }

    private CompletableFuture<KeyReply> handleRequest(ProcessIdentifier caller, KeyRequest request) {
        List<ProcessIdentifier> earlierHomes;
        synchronized (ledger) {
            updateMembers();
            if (request.verb() == Verb.END) {
                ledger.recordEnd(request.key(), caller, request.claim(), request.verdict(), request.answer());
                return completedReply(KeyVerdict.NOT_KNOWN);
            }
            if (!request.members().equals(ledger.membersDigest())) {
                return completedReply(KeyVerdict.OTHER_MEMBERS);
            }
            KeyStatus<StoredResponse> status = ledger.findStatus(request.key(), request.digest());
            if (request.verb() == Verb.LOOK_UP || status.verdict() != KeyVerdict.NOT_KNOWN) {
                return CompletableFuture.completedFuture(new KeyReply(status.verdict(), status.response()));
            }
            if (!ledger.canAskAllEarlierHomes(request.key())) {
                return completedReply(KeyVerdict.OUTCOME_UNKNOWN);
            }
            earlierHomes = List.copyOf(ledger.findEarlierHomes(request.key()));
        }
        return askEarlierHomes(earlierHomes, request).thenApply(earlierReply -> grant(caller, request, earlierReply));
    }

    /**
     * Asks the earlier homes of a key. The reply of any home that knows the key decides; if a home cannot be reached,
     * the outcome is unknown.
     */
    private CompletableFuture<KeyReply> askEarlierHomes(List<ProcessIdentifier> homes, KeyRequest claim) {
        KeyRequest lookUp = new KeyRequest(
                Verb.LOOK_UP,
                claim.key(),
                claim.digest(),
                claim.claim(),
                claim.members(),
                claim.verdict(),
                Optional.empty());
        CompletableFuture<KeyReply> earlierReply = completedReply(KeyVerdict.NOT_KNOWN);
        for (ProcessIdentifier home : homes) {
            CompletableFuture<KeyReply> homeReply = send(home, lookUp).exceptionally(failure -> outcomeUnknownReply());
            earlierReply = earlierReply.thenCombine(homeReply, KeyedRequests::selectMoreCertain);
        }
        return earlierReply;
    }

    /** Selects the more certain reply: a known state takes precedence over an unknown outcome. */
    private static KeyReply selectMoreCertain(KeyReply first, KeyReply second) {
        boolean secondIsCertain =
                second.verdict() != KeyVerdict.NOT_KNOWN && second.verdict() != KeyVerdict.OUTCOME_UNKNOWN;
        return first.verdict() == KeyVerdict.NOT_KNOWN || secondIsCertain ? second : first;
    }

    private KeyReply grant(ProcessIdentifier runner, KeyRequest claim, KeyReply earlierReply) {
        if (earlierReply.verdict() != KeyVerdict.NOT_KNOWN) {
            return earlierReply;
        }
        synchronized (ledger) {
            updateMembers();
            if (!claim.members().equals(ledger.membersDigest())) {
                return new KeyReply(KeyVerdict.OTHER_MEMBERS, Optional.empty());
            }
            long now = ports.timers().nanoTime();
            KeyStatus<StoredResponse> grantStatus =
                    ledger.grant(claim.key(), claim.digest(), runner, claim.claim(), now);
            return new KeyReply(grantStatus.verdict(), grantStatus.response());
        }
    }

    private void updateMembers() {
        long now = ports.timers().nanoTime();
        for (MembershipMonitor.MemberChange change : ports.membershipMonitor().drainChanges()) {
            ledger.updateMembers(change.members(), change.gap(), now);
        }
        ledger.updateMembers(ports.state().get().members().keySet(), false, now);
    }

    private static KeyReply outcomeUnknownReply() {
        return new KeyReply(KeyVerdict.OUTCOME_UNKNOWN, Optional.empty());
    }

    private static CompletableFuture<KeyReply> completedReply(KeyVerdict verdict) {
        return CompletableFuture.completedFuture(new KeyReply(verdict, Optional.empty()));
    }

    private static String digest(RequestHead head, RequestBody body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((head.method() + "\n" + head.target() + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body.bufferedBytes()));
        } catch (NoSuchAlgorithmException unsupported) {
            throw new IllegalStateException(unsupported);
        }
    }

    /**
     * A claim of a run, with the reply to it. Immutable.
     *
     * @param request the request that was sent
     * @param home the process to which it was sent
     * @param reply the reply of the home
     */
    record Claim(KeyRequest request, ProcessIdentifier home, KeyReply reply) {}

    private record RunEnd(ProcessIdentifier home, KeyRequest request) {}
}
