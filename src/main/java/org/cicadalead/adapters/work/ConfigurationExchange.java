package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.ports.TimerService;

/**
 * Learns the newest configuration from other processes while the store gives none, and tells it to them. Takes effect
 * only where the known configuration names client accounts. Safe for use by several threads.
 */
public final class ConfigurationExchange {
    /** Interval of checks; a process that a check finds without a read is told of changes well within their bound. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /**
     * Interval of the requests of a process without a read: several of them fit into the time for applying a version.
     */
    private static final long URGENT_INTERVAL_MILLISECONDS = 500;

    /** Interval of the requests by which processes get to know each other while all is well. */
    private static final long ROUTINE_INTERVAL_MILLISECONDS = 5_000;

    /** Time within which a process asks a new leader for the first time, spread as all processes do so. */
    private static final int MAX_INTRODUCTION_DELAY_MILLISECONDS = 2_000;

    /** Peers that are asked at a time in addition to the leader. */
    private static final int MAX_ASKED_PEERS = 2;

    /** Addresses in a reply: if the store refuses two processes in five, one of six almost certainly can read. */
    private static final int MAX_TOLD_PEERS = 6;

    private final OperatorFeed feed;
    private final PeerClient client;
    private final Supplier<Optional<String>> leaderAddress;
    private final TimerService timers;
    private final DecisionLog log;
    private final KnownPeers knownPeers;
    private final Random random = new Random();
    private Optional<TimerService.Subscription> timer = Optional.empty();
    private Optional<String> lastLeader = Optional.empty();
    private long nextRequestAt;
    private boolean urgent;

    /**
     * Creates an exchange that is idle until it's started.
     *
     * @param leaderAddress gives the address of the last known leader
     */
    public ConfigurationExchange(
            OperatorFeed feed,
            PeerClient client,
            Supplier<Optional<String>> leaderAddress,
            TimerService timers,
            DecisionLog log) {
        this.feed = feed;
        this.client = client;
        this.leaderAddress = leaderAddress;
        this.timers = timers;
        this.log = log;
        this.knownPeers = new KnownPeers(client.ownAddress());
        this.nextRequestAt = nowMilliseconds() + ROUTINE_INTERVAL_MILLISECONDS;
    }

    /** Starts the checks. */
    public synchronized void start() {
        timer = Optional.of(timers.every(CHECK_INTERVAL, this::check));
    }

    /** Stops the checks. */
    public synchronized void close() {
        timer.ifPresent(TimerService.Subscription::close);
    }

    private void check() {
        feed.observe();
        if (feed.plan().flatMap(FleetPlan::accounts).isEmpty()) {
            return;
        }
        feed.confirmIfOutdated();
        Optional<String> leader = leaderAddress.get().filter(address -> !client.isOwn(address));
        boolean hasNoRead = feed.isReadOverdue();
        if ((leader.isEmpty() && !hasNoRead) || !isRequestDue(leader, hasNoRead)) {
            return;
        }
        leader.ifPresent(this::ask);
        if (hasNoRead) {
            knownPeers.choose(MAX_ASKED_PEERS, random, leader.orElse("")).forEach(this::ask);
        }
    }

    /**
     * Returns whether a request is due, and plans the next one. A process without a read asks at once, and one with a
     * new leader soon.
     */
    private synchronized boolean isRequestDue(Optional<String> leader, boolean hasNoRead) {
        long now = nowMilliseconds();
        if (!leader.equals(lastLeader)) {
            lastLeader = leader;
            nextRequestAt = Math.min(nextRequestAt, now + random.nextInt(MAX_INTRODUCTION_DELAY_MILLISECONDS));
        }
        boolean due = now >= nextRequestAt || (hasNoRead && !urgent);
        if (hasNoRead != urgent) {
            urgent = hasNoRead;
            log.emit(
                    EventKind.CONFIGURATION_UNCONFIRMED,
                    EventDetail.of("readOverdue", hasNoRead),
                    EventDetail.of("version", feed.version()),
                    EventDetail.of("ageMilliseconds", feed.ageMilliseconds()));
        }
        if (due) {
            // Uneven, so that processes that start together don't ask the leader together from then on.
            nextRequestAt = now
                    + (hasNoRead
                            ? URGENT_INTERVAL_MILLISECONDS
                            : ROUTINE_INTERVAL_MILLISECONDS / 2 + random.nextInt((int) ROUTINE_INTERVAL_MILLISECONDS));
        }
        return due;
    }

    private long nowMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(timers.nanoTime());
    }

    private void ask(String address) {
        long sentAt = feed.elapsedMilliseconds();
        client.askConfiguration(address, feed.version())
                .thenAccept(answer -> answer.ifPresent(reply -> {
                    knownPeers.add(address);
                    reply.peers().forEach(knownPeers::add);
                    feed.onPeerReply(reply, sentAt, address);
                }));
    }

    /** Answers the request of a peer. */
    ConfigurationReply onAsked(Optional<String> sender, long senderVersion) {
        List<String> peers = knownPeers.choose(MAX_TOLD_PEERS, random, sender.orElse(""));
        sender.ifPresent(knownPeers::add);
        return feed.createReply(senderVersion, peers);
    }
}
