package org.cicadalead.model.state;

import java.util.Optional;

/**
 * State of the checkpoints in the log: the one whose parts are being appended and the newest complete one. Immutable.
 *
 * @param version offset of the last accepted begin of a checkpoint; 0 before the first one
 * @param open the checkpoint whose parts are being appended
 * @param newest the newest checkpoint whose parts are all stored in the log
 */
public record CheckpointState(long version, Optional<OpenCheckpoint> open, Optional<CompleteCheckpoint> newest) {
    /** Returns the state before the first checkpoint. */
    public static CheckpointState empty() {
        return new CheckpointState(0, Optional.empty(), Optional.empty());
    }

    /** Returns the state after the begin of a checkpoint, which replaces an open one. */
    public CheckpointState begin(long offset, long writtenAtMilliseconds) {
        return new CheckpointState(
                offset, Optional.of(new OpenCheckpoint(offset, writtenAtMilliseconds, 0, 0, "")), newest);
    }

    /** Returns the state after the next part of the open checkpoint. */
    public CheckpointState advance(OpenCheckpoint advanced) {
        return new CheckpointState(version, Optional.of(advanced), newest);
    }

    /** Returns the state after the last part of the open checkpoint. */
    public CheckpointState complete(OpenCheckpoint finished, long offset) {
        CompleteCheckpoint complete = new CompleteCheckpoint(
                finished.basis(), offset, finished.writtenAtMilliseconds(), finished.count(), finished.digest());
        return new CheckpointState(version, Optional.empty(), Optional.of(complete));
    }

    /**
     * A checkpoint whose parts are not all in the log yet.
     *
     * @param basis offset of the begin record; the checkpoint contains the state after that record
     * @param writtenAtMilliseconds the writer's wall clock at the begin, in milliseconds since 1970; used only as a
     *     hint for renewal
     * @param nextIndex index of the next part
     * @param count number of parts; 0 before the first part
     * @param digest hexadecimal SHA-256 of all parts together; empty before the first part
     */
    public record OpenCheckpoint(long basis, long writtenAtMilliseconds, int nextIndex, int count, String digest) {}

    /**
     * A checkpoint whose parts are all stored in the log.
     *
     * @param basis offset of the begin record; the checkpoint contains the state after that record
     * @param completedAt offset of the record of its last part
     * @param writtenAtMilliseconds the writer's wall clock at the begin, in milliseconds since 1970; used only as a
     *     hint for renewal
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of all parts together
     */
    public record CompleteCheckpoint(
            long basis, long completedAt, long writtenAtMilliseconds, int count, String digest) {}
}
