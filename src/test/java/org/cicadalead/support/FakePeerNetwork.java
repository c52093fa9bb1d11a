package org.cicadalead.support;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/** Connects entry processes in one Java virtual machine; a test can cut processes off or lose their replies. */
public final class FakePeerNetwork {
    private final Map<ProcessIdentifier, Channel> channels = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> unreachable = ConcurrentHashMap.newKeySet();
    private final Set<PeerTopic> lostReplyTopics = ConcurrentHashMap.newKeySet();

    public PeerChannel channel(ProcessIdentifier process, ZoneName zone) {
        return channels.computeIfAbsent(process, key -> new Channel(process, zone));
    }

    public void cutOff(ProcessIdentifier process) {
        unreachable.add(process);
    }

    public void setRepliesLost(PeerTopic topic, boolean lost) {
        if (lost) {
            lostReplyTopics.add(topic);
        } else {
            lostReplyTopics.remove(topic);
        }
    }

    private final class Channel implements PeerChannel {
        private final ProcessIdentifier self;
        private final ZoneName zone;
        private final Map<PeerTopic, CallHandler> handlers = new ConcurrentHashMap<>();

        Channel(ProcessIdentifier self, ZoneName zone) {
            this.self = self;
            this.zone = zone;
        }

        @Override
        public void registerHandler(PeerTopic topic, CallHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public CompletableFuture<byte[]> call(
                ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout) {
            Channel target = channels.get(peer);
            boolean isCutOff = unreachable.contains(peer) || unreachable.contains(self);
            if (target == null || isCutOff || !target.handlers.containsKey(topic)) {
                return CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.NO_UPSTREAM, "cut off"));
            }
            CompletableFuture<byte[]> reply = target.handlers.get(topic).handle(self, payload);
            return lostReplyTopics.contains(topic)
                    ? CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"))
                    : reply;
        }

        @Override
        public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
            // This network sends no heartbeats.
        }

        @Override
        public Optional<byte[]> findNewestPart(ProcessIdentifier peer, PeerTopic topic) {
            return Optional.empty();
        }

        @Override
        public List<PeerStatus> peers() {
            return channels.values().stream()
                    .filter(channel -> channel != this)
                    .map(channel -> new PeerStatus(channel.self, channel.zone, 0, !unreachable.contains(channel.self)))
                    .toList();
        }
    }
}
