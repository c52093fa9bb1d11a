package org.cicadalead.adapters.work;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.work.LeaderHead;
import org.cicadalead.ports.TimerService;

/** What is logged of one query for the leader: its duration, its attempts and the leader. Safe for several threads. */
final class LeaderQueryTrace {
    private final TimerService timers;
    private final long startedAt;
    private final AtomicInteger attempts = new AtomicInteger();
    private volatile Optional<LeaderHead> askedLeader = Optional.empty();

    LeaderQueryTrace(TimerService timers) {
        this.timers = timers;
        this.startedAt = timers.nanoTime();
    }

    /** Records an attempt, and the leader that is known to this process at its time. */
    void onAttempt(Optional<LeaderHead> leader) {
        attempts.incrementAndGet();
        askedLeader = leader;
    }

    /** Returns the given details, followed by those of every query. */
    EventDetail[] details(boolean answered, EventDetail... subject) {
        String leaderEpoch =
                askedLeader.map(leader -> Long.toString(leader.epoch())).orElse("none");
        return Stream.concat(
                        Stream.of(subject),
                        Stream.of(
                                EventDetail.of("answered", answered),
                                EventDetail.of("waitedMilliseconds", elapsedMilliseconds()),
                                EventDetail.of("repeats", Math.max(0, attempts.get() - 1)),
                                EventDetail.of("leaderEpoch", leaderEpoch)))
                .toArray(EventDetail[]::new);
    }

    private long elapsedMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(timers.nanoTime() - startedAt);
    }
}
