package org.cicadalead.adapters.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.ports.TimerService;

/**
 * Dials peers, with at most one dial in progress for each address. After failures it retries with exponential backoff
 * and jitter, so that many processes do not reconnect at the same time. Safe for use by several threads.
 */
final class PeerDialer {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);
    private static final int MAX_DOUBLINGS = 6;

    private final PeerIdentity self;
    private final PeerDirectory directory;
    private final List<NetworkAddress> seeds;
    private final Function<NetworkAddress, CompletableFuture<PeerConnection>> dial;
    private final TimerService timers;
    private final Map<NetworkAddress, CompletableFuture<PeerConnection>> inProgress = new ConcurrentHashMap<>();
    private final Map<NetworkAddress, Failures> failures = new ConcurrentHashMap<>();

    PeerDialer(
            PeerIdentity self,
            PeerDirectory directory,
            List<NetworkAddress> seeds,
            Function<NetworkAddress, CompletableFuture<PeerConnection>> dial,
            TimerService timers) {
        this.self = self;
        this.directory = directory;
        this.seeds = seeds;
        this.dial = dial;
        this.timers = timers;
    }

    /**
     * Dials links that are not connected, and configured addresses without a reachable process, unless their backoff is
     * still running.
     */
    void dialDuePeers(Set<ProcessIdentifier> links, Predicate<ProcessIdentifier> isConnected) {
        long now = timers.nanoTime();
        for (ProcessIdentifier peer : links) {
            Optional<PeerDirectory.KnownPeer> knownPeer = directory.find(peer);
            if (knownPeer.isPresent() && !isConnected.test(peer)) {
                dialIfDue(knownPeer.get().identity().address(), now);
            }
        }
        for (NetworkAddress seed : seeds) {
            if (!seed.equals(self.address()) && !directory.isReachableAt(seed, now)) {
                dialIfDue(seed, now);
            }
        }
        failures.values().removeIf(addressFailures -> now - addressFailures.retryAt() > 2 * MAX_BACKOFF.toNanos());
    }

    /** Dials an address now, or returns the dial that is already in progress. */
    CompletableFuture<PeerConnection> connect(NetworkAddress address) {
        CompletableFuture<PeerConnection> started = new CompletableFuture<>();
        CompletableFuture<PeerConnection> existing = inProgress.putIfAbsent(address, started);
        if (existing != null) {
            return existing;
        }
        dial.apply(address).whenComplete((connection, failure) -> {
            inProgress.remove(address);
            if (failure == null) {
                failures.remove(address);
                started.complete(connection);
            } else {
                recordFailure(address);
                started.completeExceptionally(failure);
            }
        });
        return started;
    }

    private void dialIfDue(NetworkAddress address, long now) {
        Failures addressFailures = failures.get(address);
        if (addressFailures == null || now - addressFailures.retryAt() >= 0) {
            connect(address);
        }
    }

    private void recordFailure(NetworkAddress address) {
        failures.compute(address, (key, previous) -> {
            int count = previous == null ? 1 : previous.count() + 1;
            long backoff =
                    Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(MAX_DOUBLINGS, count - 1));
            long jitteredBackoff = ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1);
            return new Failures(count, timers.nanoTime() + jitteredBackoff);
        });
    }

    /**
     * Failed dials of an address.
     *
     * @param count failures since the last success
     * @param retryAt when it may be dialed again, in monotonic nanoseconds
     */
    private record Failures(int count, long retryAt) {}
}
