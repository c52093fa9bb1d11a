package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.WorkProgress;

/** What the store holds: the record of the leader, and the progress of jobs, which a new term fences. */
final class SimulatedStore {
    final Map<String, WorkProgress> progress = new HashMap<>();
    Optional<LeaderRecord> leader = Optional.empty();
    long leaderStoredAt;
    long downUntil;
    private long progressFence;

    boolean isUp(long now) {
        return now >= downUntil;
    }

    /** Appends a record of the leader if no later term has one; returns whether it is stored. */
    boolean appendLeader(LeaderRecord appended, long now) {
        long newestEpoch = leader.map(LeaderRecord::epoch).orElse(0L);
        if (appended.epoch() < newestEpoch) {
            return false;
        }
        leader = Optional.of(appended);
        leaderStoredAt = now;
        return true;
    }

    /** Rejects progress of earlier terms from now on. */
    void fenceProgress(long epoch) {
        progressFence = Math.max(progressFence, epoch);
    }

    boolean acceptsProgress(long epoch) {
        return epoch >= progressFence;
    }
}
