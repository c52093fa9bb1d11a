package org.cicadalead.logic.checkpoint;

import java.time.Duration;
import java.util.Optional;
import org.cicadalead.model.state.CheckpointState;
import org.cicadalead.model.state.CheckpointState.CompleteCheckpoint;
import org.cicadalead.model.state.SharedState;

/**
 * Decides when a checkpoint is due. Every process may begin one: the fold accepts the first begin and rejects the
 * others. Stateless; safe for use by several threads.
 */
public final class CheckpointSchedule {
    /** Age of the newest checkpoint at which the next one is due. The platform must retain records for much longer. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMinutes(15);

    /**
     * Number of records after the newest checkpoint at which the next one is due, which bounds the startup time of a
     * process.
     */
    public static final long RENEWAL_OFFSETS = 10_000;

    /** Time after its begin at which an incomplete checkpoint counts as abandoned. */
    public static final Duration OPEN_TIMEOUT = Duration.ofMinutes(1);

    private CheckpointSchedule() {}

    /**
     * Returns whether a checkpoint of a state is due, given the oldest offset that the log retains and the wall clock.
     */
    public static boolean isDue(SharedState state, long oldestOffset, long wallClockMilliseconds) {
        if (state.configuration().version() == 0) {
            return false;
        }
        CheckpointState checkpoint = state.checkpoint();
        boolean isOpenRecent = checkpoint
                .open()
                .filter(open -> isYoungerThan(open.writtenAtMilliseconds(), OPEN_TIMEOUT, wallClockMilliseconds))
                .isPresent();
        if (isOpenRecent) {
            return false;
        }
        Optional<CompleteCheckpoint> newest = checkpoint.newest();
        return newest.isEmpty()
                || !isYoungerThan(newest.get().writtenAtMilliseconds(), RENEWAL_INTERVAL, wallClockMilliseconds)
                || isTooFarBehind(newest.get().basis(), state.offset(), oldestOffset);
    }

    /**
     * Returns whether a timestamp is recent. A timestamp in the future comes from a clock that is wrong, and counts as
     * old.
     */
    private static boolean isYoungerThan(long writtenAtMilliseconds, Duration limit, long wallClockMilliseconds) {
        long age = wallClockMilliseconds - writtenAtMilliseconds;
        return age >= 0 && age < limit.toMillis();
    }

    /**
     * Returns whether many records follow the checkpoint, or it is in the older half of the records that the log
     * retains.
     */
    private static boolean isTooFarBehind(long basis, long offset, long oldestOffset) {
        long recordsAfter = offset - basis;
        boolean isInOlderHalf = oldestOffset > 1 && basis - oldestOffset < recordsAfter;
        return recordsAfter >= RENEWAL_OFFSETS || isInOlderHalf;
    }
}
