package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.cicadalead.adapters.codec.MessagePackMessageCodec;
import org.cicadalead.adapters.request.SlotMessage.Answer;
import org.cicadalead.adapters.request.SlotMessage.Question;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/** Encodes questions about slots and their answers. Immutable and safe for use by several threads. */
final class SlotPeers {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final PeerChannel channel;
    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();

    SlotPeers(PeerChannel channel) {
        this.channel = channel;
    }

    /** Answers questions with a function that must not block. */
    void answerWith(BiFunction<ProcessIdentifier, Question, Answer> function) {
        channel.registerHandler(
                PeerTopic.SLOT,
                (caller, payload) -> CompletableFuture.completedFuture(
                        messages.encode(function.apply(caller, messages.decode(payload, Question.class)))));
    }

    CompletableFuture<Answer> ask(ProcessIdentifier process, Question question) {
        return channel.call(process, PeerTopic.SLOT, messages.encode(question), TIMEOUT)
                .thenApply(payload -> messages.decode(payload, Answer.class));
    }

    boolean isReachable(ProcessIdentifier process) {
        return channel.peers().stream().anyMatch(peer -> peer.process().equals(process) && peer.reachable());
    }
}
