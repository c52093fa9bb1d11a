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

/** Entry processes of one virtual machine that call each other; a test cuts them off or loses their answers. */
public final class FakePeerNetwork {
    private final Map<ProcessIdentifier, Channel> channels = new ConcurrentHashMap<>();
    private final Set<ProcessIdentifier> unreachable = ConcurrentHashMap.newKeySet();
    private final Set<PeerTopic> answersLost = ConcurrentHashMap.newKeySet();

    public PeerChannel channel(ProcessIdentifier process, ZoneName zone) {
        return channels.computeIfAbsent(process, unseen -> new Channel(process, zone));
    }

    public void cutOff(ProcessIdentifier process) {
        unreachable.add(process);
    }

    public void loseAnswers(PeerTopic topic, boolean lose) {
        if (lose) {
            answersLost.add(topic);
        } else {
            answersLost.remove(topic);
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
            boolean cut = unreachable.contains(peer) || unreachable.contains(self);
            if (target == null || cut || !target.handlers.containsKey(topic)) {
                return CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.NO_UPSTREAM, "cut off"));
            }
            CompletableFuture<byte[]> answer = target.handlers.get(topic).handle(self, payload);
            return answersLost.contains(topic)
                    ? CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"))
                    : answer;
        }

        @Override
        public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
            // No heartbeats in this network.
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
