package org.cicadalead.adapters.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.cicadalead.adapters.codec.MessagePackMessageCodec;
import org.cicadalead.adapters.request.SlotMessage.SlotReply;
import org.cicadalead.adapters.request.SlotMessage.SlotRequest;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/** Sends and receives slot requests and their replies. Immutable and safe for use by several threads. */
final class SlotChannel {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final PeerChannel channel;
    private final MessagePackMessageCodec messages = new MessagePackMessageCodec();

    SlotChannel(PeerChannel channel) {
        this.channel = channel;
    }

    /** Sets the function that replies to requests. It must not block. */
    void setRequestHandler(BiFunction<ProcessIdentifier, SlotRequest, SlotReply> handler) {
        channel.registerHandler(
                PeerTopic.SLOT,
                (caller, payload) -> CompletableFuture.completedFuture(
                        messages.encode(handler.apply(caller, messages.decode(payload, SlotRequest.class)))));
    }

    CompletableFuture<SlotReply> send(ProcessIdentifier process, SlotRequest question) {
        return channel.call(process, PeerTopic.SLOT, messages.encode(question), TIMEOUT)
                .thenApply(payload -> messages.decode(payload, SlotReply.class));
    }

    boolean isReachable(ProcessIdentifier process) {
        return channel.peers().stream().anyMatch(peer -> peer.process().equals(process) && peer.reachable());
    }
}
