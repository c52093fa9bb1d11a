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
import org.cicadalead.adapters.request.KeyMessage.Answer;
import org.cicadalead.adapters.request.KeyMessage.Question;
import org.cicadalead.adapters.request.KeyMessage.Verb;
import org.cicadalead.logic.request.KeyLedger;
import org.cicadalead.logic.request.KeyLedger.KeyReply;
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
    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();
    private final KeyLedger<KeptAnswer> ledger;
    private final AtomicLong nextClaim = new AtomicLong();
    private final Queue<Ending> unsent = new ConcurrentLinkedQueue<>();

    KeyedRequests(RequestPorts ports, PeerChannel channel) {
        this.ports = ports;
        this.channel = channel;
        this.ledger = new KeyLedger<>(ports.process());
        channel.registerHandler(
                PeerTopic.KEYED_REQUEST, (caller, payload) -> handle(caller, messages.decode(payload, Question.class))
                        .thenApply(messages::encode));
    }

    /** Brings the members up to date and sends again what was not received; called by the timer. */
    void tick() {
        synchronized (ledger) {
            updateMembers();
        }
        for (int count = unsent.size(); count > 0; count--) {
            Optional.ofNullable(unsent.poll()).ifPresent(this::tell);
        }
    }

    /** Asks for the run of a request. The result never fails; a grant comes with a claim that must be ended. */
    CompletableFuture<Claim> claim(ServiceName service, RequestHead head, RequestBody body) {
        String key = service + "\n" + head.idempotencyKey().orElseThrow();
        long number = nextClaim.incrementAndGet();
        Question question;
        Optional<ProcessIdentifier> home;
        synchronized (ledger) {
            updateMembers();
            home = ledger.home(key);
            question = new Question(
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
                    new Claim(question, ports.process(), new Answer(KeyVerdict.OUTCOME_UNKNOWN, Optional.empty())));
        }
        ProcessIdentifier asked = home.get();
        return ask(asked, question)
                .thenApply(answer -> new Claim(question, asked, answer))
                .exceptionally(lost -> {
                    // The home may have granted it; as nothing was run, the key is freed again.
                    end(new Claim(question, asked, unknown()), KeyVerdict.NOT_KNOWN, Optional.empty());
                    return new Claim(question, asked, unknown());
                });
    }

    /** Returns a listener that tells the home how a granted run ended. */
    AnswerListener listenerFor(Claim claim) {
        return new AnswerListener() {
            @Override
            public void onAnswered(KeptAnswer answer) {
                end(claim, KeyVerdict.ANSWERED, Optional.of(answer));
            }

            @Override
            public void onAnsweredLong() {
                end(claim, KeyVerdict.ANSWERED_WITHOUT_COPY, Optional.empty());
            }

            @Override
            public void onFailed(ErrorKind kind) {
                boolean notRun = kind.execution() == Execution.NOT_RUN;
                end(claim, notRun ? KeyVerdict.NOT_KNOWN : KeyVerdict.OUTCOME_UNKNOWN, Optional.empty());
            }
        };
    }

    private void end(Claim claim, KeyVerdict verdict, Optional<KeptAnswer> answer) {
        Question asked = claim.question();
        tell(new Ending(
                claim.home(),
                new Question(Verb.END, asked.key(), asked.digest(), asked.claim(), asked.members(), verdict, answer)));
    }

    private void tell(Ending ending) {
        ask(ending.home(), ending.question()).whenComplete((answer, failure) -> {
            boolean isMember = ports.state().get().members().containsKey(ending.home());
            if (failure != null && isMember) {
                unsent.add(ending);
            }
        });
    }

    private CompletableFuture<Answer> ask(ProcessIdentifier process, Question question) {
        if (process.equals(ports.process())) {
            return handle(process, question);
        }
        return channel.call(process, PeerTopic.KEYED_REQUEST, messages.encode(question), TIMEOUT)
                .thenApply(payload -> messages.decode(payload, Answer.class));
    }

    private CompletableFuture<Answer> handle(ProcessIdentifier caller, Question question) {
        List<ProcessIdentifier> earlierHomes;
        synchronized (ledger) {
            updateMembers();
            if (question.verb() == Verb.END) {
                ledger.end(question.key(), caller, question.claim(), question.verdict(), question.answer());
                return completed(KeyVerdict.NOT_KNOWN);
            }
            if (!question.members().equals(ledger.membersDigest())) {
                return completed(KeyVerdict.OTHER_MEMBERS);
            }
            KeyReply<KeptAnswer> known = ledger.lookUp(question.key(), question.digest());
            if (question.verb() == Verb.LOOK_UP || known.verdict() != KeyVerdict.NOT_KNOWN) {
                return CompletableFuture.completedFuture(new Answer(known.verdict(), known.answer()));
            }
            if (!ledger.isProvable(question.key())) {
                return completed(KeyVerdict.OUTCOME_UNKNOWN);
            }
            earlierHomes = List.copyOf(ledger.earlierHomes(question.key()));
        }
        return askEarlierHomes(earlierHomes, question).thenApply(known -> grant(caller, question, known));
    }

    /** Any earlier home that knows the key decides; one that cannot be asked makes it unknown. */
    private CompletableFuture<Answer> askEarlierHomes(List<ProcessIdentifier> homes, Question claim) {
        Question lookUp = new Question(
                Verb.LOOK_UP,
                claim.key(),
                claim.digest(),
                claim.claim(),
                claim.members(),
                claim.verdict(),
                Optional.empty());
        CompletableFuture<Answer> known = completed(KeyVerdict.NOT_KNOWN);
        for (ProcessIdentifier home : homes) {
            CompletableFuture<Answer> asked = ask(home, lookUp).exceptionally(lost -> unknown());
            known = known.thenCombine(asked, KeyedRequests::better);
        }
        return known;
    }

    /** What an earlier home knows for certain goes before what another one cannot say. */
    private static Answer better(Answer first, Answer second) {
        boolean secondIsCertain =
                second.verdict() != KeyVerdict.NOT_KNOWN && second.verdict() != KeyVerdict.OUTCOME_UNKNOWN;
        return first.verdict() == KeyVerdict.NOT_KNOWN || secondIsCertain ? second : first;
    }

    private Answer grant(ProcessIdentifier runner, Question claim, Answer known) {
        if (known.verdict() != KeyVerdict.NOT_KNOWN) {
            return known;
        }
        synchronized (ledger) {
            updateMembers();
            if (!claim.members().equals(ledger.membersDigest())) {
                return new Answer(KeyVerdict.OTHER_MEMBERS, Optional.empty());
            }
            long now = ports.timers().nanoTime();
            KeyReply<KeptAnswer> granted = ledger.grant(claim.key(), claim.digest(), runner, claim.claim(), now);
            return new Answer(granted.verdict(), granted.answer());
        }
    }

    private void updateMembers() {
        long now = ports.timers().nanoTime();
        for (MemberWatch.MemberChange change : ports.memberWatch().takeChanges()) {
            ledger.onMembers(change.members(), change.gap(), now);
        }
        ledger.onMembers(ports.state().get().members().keySet(), false, now);
    }

    private static Answer unknown() {
        return new Answer(KeyVerdict.OUTCOME_UNKNOWN, Optional.empty());
    }

    private static CompletableFuture<Answer> completed(KeyVerdict verdict) {
        return CompletableFuture.completedFuture(new Answer(verdict, Optional.empty()));
    }

    private static String digest(RequestHead head, RequestBody body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((head.method() + "\n" + head.target() + "\n").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body.kept()));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * A question for a run, with its answer. Immutable.
     *
     * @param question the question
     * @param home the process that was asked
     * @param answer what it said
     */
    record Claim(Question question, ProcessIdentifier home, Answer answer) {}

    private record Ending(ProcessIdentifier home, Question question) {}
}
