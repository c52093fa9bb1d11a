package org.cicadalead.model.state;

import java.util.Optional;

/**
 * Checkpoints in the log: the one whose parts are being appended, and the newest whole one. Immutable.
 *
 * @param version offset of the last accepted begin of a checkpoint; 0 before the first
 * @param open the checkpoint whose parts are being appended
 * @param newest the newest checkpoint of which every part stands in the log
 */
public record CheckpointState(long version, Optional<OpenCheckpoint> open, Optional<CompleteCheckpoint> newest) {
    /** Returns the state before the first checkpoint. */
    public static CheckpointState empty() {
        return new CheckpointState(0, Optional.empty(), Optional.empty());
    }

    /** Returns the state after the begin of a checkpoint, which takes the place of an open one. */
    public CheckpointState begin(long offset, long writtenAtMilliseconds) {
        return new CheckpointState(
                offset, Optional.of(new OpenCheckpoint(offset, writtenAtMilliseconds, 0, 0, "")), newest);
    }

    /** Returns the state after a further part of the open checkpoint. */
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
     * A checkpoint of which parts are missing.
     *
     * @param basis offset of its begin; it holds the state after that record
     * @param writtenAtMilliseconds the writer's wall clock at the begin; a hint for renewal only
     * @param nextIndex index of the next part
     * @param count number of parts; 0 before the first part
     * @param digest hexadecimal SHA-256 of the whole; empty before the first part
     */
    public record OpenCheckpoint(long basis, long writtenAtMilliseconds, int nextIndex, int count, String digest) {}

    /**
     * A checkpoint of which every part stands in the log.
     *
     * @param basis offset of its begin; it holds the state after that record
     * @param completedAt offset of its last part
     * @param writtenAtMilliseconds the writer's wall clock at the begin; a hint for renewal only
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of the whole
     */
    public record CompleteCheckpoint(
            long basis, long completedAt, long writtenAtMilliseconds, int count, String digest) {}
}
