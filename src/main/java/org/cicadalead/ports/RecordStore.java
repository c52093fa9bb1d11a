package org.cicadalead.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's log of keyed records, of which the newest of each key is kept. Calls never fail exceptionally: what
 * went wrong is in the answer. Implementations are safe for use by several threads.
 */
public interface RecordStore {
    /**
     * Appends records, all or none.
     *
     * @param expectedEnd append only if the topic ends there
     */
    CompletableFuture<AppendResult> append(Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd);

    /**
     * Appends records in the order of a writer's sequence, unless a later epoch of the writer is known; without
     * records, only makes the epoch known. The same position may be sent again, and is carried out once.
     */
    CompletableFuture<AppendResult> appendFenced(Topic topic, List<KeyedRecord> records, WriterPosition position);

    /** Reads records from an offset on, and waits for one if there is none yet. */
    CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait);

    /** Reads the newest record of every key. */
    CompletableFuture<Snapshot> snapshot(Topic topic);

    /** What is kept where. */
    enum Topic {
        /** Jobs and their cancellations. */
        JOBS,
        /** The same, used while {@link #JOBS} does not answer: a store may lose single topics for a while. */
        SPARE_JOBS,
        /** What the scheduling process keeps of the jobs. */
        PROGRESS,
        /** The same, used while {@link #PROGRESS} does not answer. */
        SPARE_PROGRESS,
        /** The process that schedules. */
        LEADER,
        /** What operators write: the configuration and maintenance waves. */
        OPERATOR,
        /** The registry of hosts. */
        HOSTS,
        /** What operators read. */
        STATUS
    }

    /**
     * A record of a key.
     *
     * @param key the key
     * @param value the value; empty when the key is dropped
     * @param offset its place in the topic, -1 where it has none yet
     */
    record KeyedRecord(String key, Optional<byte[]> value, long offset) {
        /** Returns a record that is to be written. */
        public static KeyedRecord of(String key, byte[] value) {
            return new KeyedRecord(key, Optional.of(value), -1);
        }

        /** Returns a record that drops a key. */
        public static KeyedRecord createDeletion(String key) {
            return new KeyedRecord(key, Optional.empty(), -1);
        }
    }

    /**
     * Place of an append in a writer's sequence.
     *
     * @param epoch term of the writer
     * @param sequence number of the append within the term
     */
    record WriterPosition(long epoch, long sequence) {}

    /** What became of an append. */
    enum AppendOutcome {
        /** The records are stored. */
        STORED,
        /** The topic ends elsewhere; nothing was done. */
        CONFLICT,
        /** A later epoch of the writer is known; nothing was done. */
        FENCED,
        /** Another number was expected in the writer's sequence; nothing was done. */
        OUT_OF_SEQUENCE,
        /** The store refused; nothing was done. */
        REFUSED,
        /** No answer came; the records may be stored now or later. */
        UNKNOWN
    }

    /**
     * The answer to an append.
     *
     * @param outcome what became of it
     * @param endOffset end of the topic, where it is known; the expected number when it was out of sequence
     */
    record AppendResult(AppendOutcome outcome, long endOffset) {}

    /** What became of a read. */
    enum ReadOutcome {
        /** It was answered. */
        READ,
        /** The records asked for are gone; a snapshot is needed. */
        TRUNCATED,
        /** No answer came, or a refusal. */
        FAILED
    }

    /**
     * The answer to a read.
     *
     * @param outcome what became of it
     * @param records the records, oldest first
     * @param nextOffset where to read on
     */
    record ReadResult(ReadOutcome outcome, List<KeyedRecord> records, long nextOffset) {
        /** Copies the list. */
        public ReadResult {
            records = List.copyOf(records);
        }
    }

    /**
     * The newest record of every key.
     *
     * @param complete whether all was read
     * @param records the records
     * @param nextOffset where to read on, so that nothing is missed
     */
    record Snapshot(boolean complete, List<KeyedRecord> records, long nextOffset) {
        /** Copies the list. */
        public Snapshot {
            records = List.copyOf(records);
        }
    }
}
