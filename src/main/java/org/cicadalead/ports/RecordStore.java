package org.cicadalead.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's log of keyed records, which retains the newest record of each key. The returned futures never complete
 * exceptionally; their results tell failures. Implementations are safe for use by several threads.
 */
public interface RecordStore {
    /**
     * Appends records atomically.
     *
     * @param expectedEnd end offset of the topic on which the append is conditional; empty to append unconditionally
     */
    CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd);

    /**
     * Appends records in the order of a writer's sequence, unless the store knows a later epoch of the writer. Without
     * records, only fences earlier epochs. Retries with the same position are stored once.
     */
    CompletableFuture<AppendResult> appendFenced(Topic topic, List<KeyedRecord> records, WriterPosition position);

    /** Reads records from an offset on; if there are none yet, waits for one for at most the given time. */
    CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait);

    /** Reads the newest record of every key. */
    CompletableFuture<Snapshot> snapshot(Topic topic);

    /** Topics of the store. */
    enum Topic {
        /** Jobs and their cancellations. */
        JOBS,
        /** Jobs while {@link #JOBS} is unavailable, as single topics of a store may be unavailable for some time. */
        SPARE_JOBS,
        /** Progress of jobs, written by the leader. */
        PROGRESS,
        /** Progress of jobs while {@link #PROGRESS} is unavailable. */
        SPARE_PROGRESS,
        /** Heartbeats and claims of the leader. */
        LEADER,
        /** Records written by operators: the configuration and maintenance waves. */
        OPERATOR,
        /** The registry of hosts. */
        HOSTS,
        /** Status records for operators. */
        STATUS
    }

    /**
     * A record of a key.
     *
     * @param key the key
     * @param value the value; empty if the record deletes the key
     * @param offset offset in the topic; -1 if the record is not stored yet
     */
    record KeyedRecord(String key, Optional<byte[]> value, long offset) {
        /** Creates a record that is to be written. */
        public static KeyedRecord of(String key, byte[] value) {
            return new KeyedRecord(key, Optional.of(value), -1);
        }

        /** Creates a record that deletes a key. */
        public static KeyedRecord createDeletion(String key) {
            return new KeyedRecord(key, Optional.empty(), -1);
        }
    }

    /**
     * Position of an append in a writer's sequence.
     *
     * @param epoch epoch of the writer, used as the fencing token
     * @param sequence number of the append within the term
     */
    record WriterPosition(long epoch, long sequence) {}

    /** Outcome of an append. */
    enum AppendOutcome {
        /** The records are stored. */
        STORED,
        /** The topic does not end at the expected offset; nothing was stored. */
        CONFLICT,
        /** The store knows a later epoch of the writer; nothing was stored. */
        FENCED,
        /** The store expected another number in the writer's sequence; nothing was stored. */
        OUT_OF_SEQUENCE,
        /** The store rejected the append; nothing was stored. */
        REFUSED,
        /** The store did not respond; the records may be stored now or later. */
        UNKNOWN
    }

    /**
     * Result of an append.
     *
     * @param outcome outcome of the append
     * @param endOffset end of the topic, if known; the expected sequence number if the append was out of sequence
     */
    record AppendResult(AppendOutcome outcome, long endOffset) {}

    /** Outcome of a read. */
    enum ReadOutcome {
        /** The read succeeded. */
        READ,
        /** The topic no longer has the requested records; a snapshot is needed. */
        TRUNCATED,
        /** The store did not respond or rejected the read. */
        FAILED
    }

    /**
     * Result of a read.
     *
     * @param outcome outcome of the read
     * @param records the records, oldest first
     * @param nextOffset offset from which to continue
     * @param hasFurther whether the store had further records from there on, which one reply does not hold
     */
    record ReadResult(ReadOutcome outcome, List<KeyedRecord> records, long nextOffset, boolean hasFurther) {
        /** Copies the list. */
        public ReadResult {
            records = List.copyOf(records);
        }

        /** Creates the result of a read that reached the end of the topic, or that failed. */
        public ReadResult(ReadOutcome outcome, List<KeyedRecord> records, long nextOffset) {
            this(outcome, records, nextOffset, false);
        }
    }

    /**
     * The newest record of every key.
     *
     * @param complete whether all records were read
     * @param records the records
     * @param nextOffset offset from which to continue without missing a record
     */
    record Snapshot(boolean complete, List<KeyedRecord> records, long nextOffset) {
        /** Copies the list. */
        public Snapshot {
            records = List.copyOf(records);
        }
    }
}
