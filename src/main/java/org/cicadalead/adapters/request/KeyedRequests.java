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
import org.cicadalead.adapters.codec.MessagePackMessages;
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
 * One run for all requests with the same idempotency key, through whichever entry process they come: the key's home
 * grants the run, and learns how it ended before the caller does. Whatever goes wrong on the way to the home ends as
 * unknown, and nothing is run. Safe for use by several threads.
 */
final class KeyedRequests {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final RequestPorts ports;
    private final PeerChannel channel;
    private final MessagePackMessages messages = new MessagePackMessages();
    private final KeyLedger<StoredResponse> ledger;
    private final AtomicLong nextClaim = new AtomicLong();
    private final Queue<RunEnd> unsentRunEnds = new ConcurrentLinkedQueue<>();

    KeyedRequests(RequestPorts ports, PeerChannel channel) {
        this.ports = ports;
        this.channel = channel;
        this.ledger = new KeyLedger<>(ports.process());
        channel.answer(PeerTopic.KEYED_REQUEST, (caller, payload) -> handleRequest(
                        caller, messages.decode(payload, KeyRequest.class))
                .thenApply(messages::encode));
    }

    /** Brings the members up to date and sends again what was not received; called by the timer. */
    void onTick() {
        synchronized (ledger) {
            updateMembers();
        }
        for (int count = unsentRunEnds.size(); count > 0; count--) {
            Optional.ofNullable(unsentRunEnds.poll()).ifPresent(this::sendRunEnd);
        }
    }

    /** Asks for the run of a request. The result never fails; a grant comes with a claim that must be ended. */
    CompletableFuture<Claim> claim(ServiceName service, RequestHead head, RequestBody body) {
        String key = service + "\n" + head.idempotencyKey().orElseThrow();
        long number = nextClaim.incrementAndGet();
        KeyRequest question;
        Optional<ProcessIdentifier> home;
        synchronized (ledger) {
            updateMembers();
            home = ledger.findHome(key);
            question = new KeyRequest(
                    Verb.CLAIM,
                    key,
                    digest(head, body),
                    number,
                    ledger.membersDigest(),
                    KeyVerdict.IN_PROGRESS,
                    Optional.empty());
        }
        if (home.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new Claim(question, ports.process(), new KeyReply(KeyVerdict.OUTCOME_UNKNOWN, Optional.empty())));
        }
        ProcessIdentifier asked = home.get();
        return send(asked, question)
                .thenApply(answer -> new Claim(question, asked, answer))
                .exceptionally(lost -> {
                    // The home may have granted it; as nothing was run, the key is freed again.
                    reportRunEnd(
                            new Claim(question, asked, outcomeUnknownReply()), KeyVerdict.NOT_KNOWN, Optional.empty());
                    return new Claim(question, asked, outcomeUnknownReply());
                });
    }

    /** Returns a listener that tells the home how a granted run ended. */
    ResponseListener listenerFor(Claim claim) {
        return new ResponseListener() {
            @Override
            public void onResponse(StoredResponse answer) {
                reportRunEnd(claim, KeyVerdict.ANSWERED, Optional.of(answer));
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

    private void reportRunEnd(Claim claim, KeyVerdict verdict, Optional<StoredResponse> answer) {
        KeyRequest asked = claim.request();
        sendRunEnd(new RunEnd(
                claim.home(),
                new KeyRequest(
                        Verb.END, asked.key(), asked.digest(), asked.claim(), asked.members(), verdict, answer)));
    }

    private void sendRunEnd(RunEnd ending) {
        send(ending.home(), ending.request()).whenComplete((answer, failure) -> {
            boolean isMember = ports.state().get().members().containsKey(ending.home());
            if (failure != null && isMember) {
                unsentRunEnds.add(ending);
            }
        });
    }

    private CompletableFuture<KeyReply> send(ProcessIdentifier process, KeyRequest question) {
        if (process.equals(ports.process())) {
            return handleRequest(process, question);
        }
        return channel.call(process, PeerTopic.KEYED_REQUEST, messages.encode(question), TIMEOUT)
                .thenApply(payload -> messages.decode(payload, KeyReply.class));
    }

    private CompletableFuture<KeyReply> handleRequest(ProcessIdentifier caller, KeyRequest question) {
        List<ProcessIdentifier> earlierHomes;
        synchronized (ledger) {
            updateMembers();
            if (question.verb() == Verb.END) {
                ledger.recordEnd(question.key(), caller, question.claim(), question.verdict(), question.answer());
                return completedReply(KeyVerdict.NOT_KNOWN);
            }
            if (!question.members().equals(ledger.membersDigest())) {
                return completedReply(KeyVerdict.OTHER_MEMBERS);
            }
            KeyStatus<StoredResponse> known = ledger.lookUp(question.key(), question.digest());
            if (question.verb() == Verb.LOOK_UP || known.verdict() != KeyVerdict.NOT_KNOWN) {
                return CompletableFuture.completedFuture(new KeyReply(known.verdict(), known.response()));
            }
            if (!ledger.canAskAllEarlierHomes(question.key())) {
                return completedReply(KeyVerdict.OUTCOME_UNKNOWN);
            }
            earlierHomes = List.copyOf(ledger.findEarlierHomes(question.key()));
        }
        return askEarlierHomes(earlierHomes, question).thenApply(known -> grant(caller, question, known));
    }

    /** Any earlier home that knows the key decides; one that cannot be asked makes it unknown. */
    private CompletableFuture<KeyReply> askEarlierHomes(List<ProcessIdentifier> homes, KeyRequest claim) {
        KeyRequest lookUp = new KeyRequest(
                Verb.LOOK_UP,
                claim.key(),
                claim.digest(),
                claim.claim(),
                claim.members(),
                claim.verdict(),
                Optional.empty());
        CompletableFuture<KeyReply> known = completedReply(KeyVerdict.NOT_KNOWN);
        for (ProcessIdentifier home : homes) {
            CompletableFuture<KeyReply> asked = send(home, lookUp).exceptionally(lost -> outcomeUnknownReply());
            known = known.thenCombine(asked, KeyedRequests::selectMoreCertain);
        }
        return known;
    }

    /** What an earlier home knows for certain goes before what another one cannot say. */
    private static KeyReply selectMoreCertain(KeyReply first, KeyReply second) {
        boolean secondIsCertain =
                second.verdict() != KeyVerdict.NOT_KNOWN && second.verdict() != KeyVerdict.OUTCOME_UNKNOWN;
        return first.verdict() == KeyVerdict.NOT_KNOWN || secondIsCertain ? second : first;
    }

    private KeyReply grant(ProcessIdentifier runner, KeyRequest claim, KeyReply known) {
        if (known.verdict() != KeyVerdict.NOT_KNOWN) {
            return known;
        }
        synchronized (ledger) {
            updateMembers();
            if (!claim.members().equals(ledger.membersDigest())) {
                return new KeyReply(KeyVerdict.OTHER_MEMBERS, Optional.empty());
            }
            long now = ports.timers().nanoTime();
            KeyStatus<StoredResponse> granted = ledger.grant(claim.key(), claim.digest(), runner, claim.claim(), now);
            return new KeyReply(granted.verdict(), granted.response());
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
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * A question for a run, with its answer. Immutable.
     *
     * @param request the request that was sent
     * @param home the process that was asked
     * @param reply the reply of the home
     */
    record Claim(KeyRequest request, ProcessIdentifier home, KeyReply reply) {}

    private record RunEnd(ProcessIdentifier home, KeyRequest request) {}
}
