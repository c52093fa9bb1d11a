package org.cicadalead.model.command;

/**
 * Commands that write the shared state into the log again before older records expire. Immutable except for byte
 * arrays.
 */
public sealed interface CheckpointCommand extends Command {
    /**
     * Begins a checkpoint. Its parts will contain the state after this record.
     *
     * @param checkpointVersion offset of the last accepted begin that the writer had read; 0 when there was none
     * @param writtenAtMilliseconds the writer's wall clock, in milliseconds since 1970; a hint for renewal that no
     *     decision of the fold depends on
     */
    record Begin(long checkpointVersion, long writtenAtMilliseconds) implements CheckpointCommand {}

    /**
     * A part of the encoded state. Parts are appended in order.
     *
     * @param basis offset of the begin record
     * @param index index of the part, from 0
     * @param count number of parts
     * @param digest hexadecimal SHA-256 of all parts together
     * @param content bytes of the part; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Part(long basis, int index, int count, String digest, byte[] content) implements CheckpointCommand {}
}
