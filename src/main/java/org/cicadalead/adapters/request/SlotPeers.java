package org.cicadalead.adapters.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.cicadalead.adapters.codec.DomainMappers;
import org.cicadalead.adapters.request.SlotMessage.Answer;
import org.cicadalead.adapters.request.SlotMessage.Question;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/** Encodes questions about slots and their answers. Immutable and safe for use by several threads. */
final class SlotPeers {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final PeerChannel channel;
    private final ObjectMapper mapper = DomainMappers.messagePack();

    SlotPeers(PeerChannel channel) {
        this.channel = channel;
    }

    /** Answers questions with a function that must not block. */
    void answerWith(BiFunction<ProcessIdentifier, Question, Answer> function) {
        channel.answer(
                PeerTopic.SLOT,
                (caller, payload) -> CompletableFuture.completedFuture(
                        encode(function.apply(caller, decode(payload, Question.class)))));
    }

    CompletableFuture<Answer> ask(ProcessIdentifier process, Question question) {
        return channel.call(process, PeerTopic.SLOT, encode(question), TIMEOUT)
                .thenApply(payload -> decode(payload, Answer.class));
    }

    boolean isReachable(ProcessIdentifier process) {
        return channel.peers().stream().anyMatch(peer -> peer.process().equals(process) && peer.reachable());
    }

    private byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The message cannot be encoded", failure);
        }
    }

    private <T> T decode(byte[] payload, Class<T> type) {
        try {
            return mapper.readValue(payload, type);
        } catch (IOException damaged) {
            throw new CicadaleadException(ErrorKind.MALFORMED_REQUEST, "The message cannot be decoded", damaged);
        }
    }
}
