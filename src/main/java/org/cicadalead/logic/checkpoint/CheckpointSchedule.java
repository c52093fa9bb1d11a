package org.cicadalead.logic.checkpoint;

import java.time.Duration;
import java.util.Optional;
import org.cicadalead.model.state.CheckpointState;
import org.cicadalead.model.state.CheckpointState.CompleteCheckpoint;
import org.cicadalead.model.state.SharedState;

/**
 * Decides when a checkpoint is due. Any process may act on it: the fold accepts one begin and rejects the others.
 * Stateless; safe for use by several threads.
 */
public final class CheckpointSchedule {
    /** Age of the newest checkpoint at which the next one is due; the platform must keep records for much longer. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMinutes(15);

    /** Records after the newest checkpoint at which the next one is due, which bounds the time of a start. */
    public static final long RENEWAL_OFFSETS = 10_000;

    /** Time after which a checkpoint that is still open counts as abandoned. */
    public static final Duration OPEN_TIMEOUT = Duration.ofMinutes(1);

    private CheckpointSchedule() {}

    /** Tells whether a checkpoint is due on a state, given the oldest record that the log keeps and the wall clock. */
    public static boolean isDue(SharedState state, long oldestOffset, long wallClockMilliseconds) {
        if (state.configuration().version() == 0) {
            return false;
        }
        CheckpointState checkpoint = state.checkpoint();
        boolean openIsFresh = checkpoint
                .open()
                .filter(open -> isYoungerThan(open.writtenAtMilliseconds(), OPEN_TIMEOUT, wallClockMilliseconds))
                .isPresent();
        if (openIsFresh) {
            return false;
        }
        Optional<CompleteCheckpoint> newest = checkpoint.newest();
        return newest.isEmpty()
                || !isYoungerThan(newest.get().writtenAtMilliseconds(), RENEWAL_INTERVAL, wallClockMilliseconds)
                || isTooFarBehind(newest.get().basis(), state.offset(), oldestOffset);
    }

    /** A stamp from the future is another clock's fault and counts as old. */
    private static boolean isYoungerThan(long writtenAtMilliseconds, Duration limit, long wallClockMilliseconds) {
        long age = wallClockMilliseconds - writtenAtMilliseconds;
        return age >= 0 && age < limit.toMillis();
    }

    /** True when many records follow the checkpoint, or when it stands in the older half of what the log keeps. */
    private static boolean isTooFarBehind(long basis, long offset, long oldestOffset) {
        long following = offset - basis;
        boolean inOlderHalf = oldestOffset > 1 && basis - oldestOffset < following;
        return following >= RENEWAL_OFFSETS || inOlderHalf;
    }
}
