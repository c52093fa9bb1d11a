package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.PeerChannel;
import org.cicadalead.ports.PeerTopic;

/**
 * Peer channel between the replicas of a test. A call is answered immediately or its reply is lost. For use by one
 * thread.
 */
final class FakeNetwork {
    private final Map<ProcessIdentifier, Endpoint> endpoints = new TreeMap<>();
    private final BiPredicate<ProcessIdentifier, ProcessIdentifier> isConnected;
    private int repliesToLose;

    FakeNetwork(BiPredicate<ProcessIdentifier, ProcessIdentifier> isConnected) {
        this.isConnected = isConnected;
    }

    PeerChannel join(ProcessIdentifier process, LongSupplier appliedOffset) {
        Endpoint endpoint = new Endpoint(process, appliedOffset);
        endpoints.put(process, endpoint);
        return endpoint;
    }

    void leave(ProcessIdentifier process) {
        endpoints.remove(process);
    }

    void loseReplies(int count) {
        repliesToLose += count;
    }

    void heal() {
        repliesToLose = 0;
    }

    private final class Endpoint implements PeerChannel {
        private final ProcessIdentifier self;
        private final LongSupplier appliedOffset;
        private final Map<PeerTopic, CallHandler> handlers = new EnumMap<>(PeerTopic.class);

        Endpoint(ProcessIdentifier self, LongSupplier appliedOffset) {
            this.self = self;
            this.appliedOffset = appliedOffset;
        }

        @Override
        public void registerHandler(PeerTopic topic, CallHandler handler) {
            handlers.put(topic, handler);
        }

        @Override
        public CompletableFuture<byte[]> call(
                ProcessIdentifier peer, PeerTopic topic, byte[] payload, Duration timeout) {
            Endpoint target = endpoints.get(peer);
            if (target == null || !isConnected.test(self, peer)) {
                return CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.NO_UPSTREAM, "cut"));
            }
            CompletableFuture<byte[]> reply = target.handlers.get(topic).handle(self, payload);
            if (repliesToLose > 0) {
                repliesToLose--;
                return CompletableFuture.failedFuture(new CicadaleadException(ErrorKind.OUTCOME_UNKNOWN, "lost"));
            }
            return reply;
        }

        @Override
        public void addHeartbeatPart(PeerTopic topic, Supplier<byte[]> part) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<byte[]> findNewestPart(ProcessIdentifier peer, PeerTopic topic) {
            return Optional.empty();
        }

        @Override
        public List<PeerStatus> peers() {
            List<PeerStatus> statuses = new ArrayList<>();
            for (Endpoint other : endpoints.values()) {
                if (other != this) {
                    statuses.add(new PeerStatus(
                            other.self,
                            new ZoneName("zone"),
                            other.appliedOffset.getAsLong(),
                            isConnected.test(self, other.self)));
                }
            }
            return statuses;
        }
    }
}
