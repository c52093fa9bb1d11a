package org.cicadalead.model.command;

/** Commands that write the shared state into the log again before older records expire. Immutable but for the bytes. */
public sealed interface CheckpointCommand extends Command {
    /**
     * Begins a checkpoint; the state after this record is what its parts will hold.
     *
     * @param checkpointVersion offset of the last accepted begin that was read; 0 when there was none
     * @param writtenAtMilliseconds the writer's wall clock; a hint for renewal, never part of a decision of the fold
     */
    record Begin(long checkpointVersion, long writtenAtMilliseconds) implements CheckpointCommand {}

    /**
     * A part of the encoded state. Parts are appended in order.
     *
     * @param basis offset of the begin
     * @param index index of the part, from 0
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of all parts together
     * @param content the part's bytes; not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Part(long basis, int index, int count, String digest, byte[] content) implements CheckpointCommand {}
}
