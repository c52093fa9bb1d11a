package org.cicadalead.ports;

import java.time.Duration;
import java.util.List;

/** The platform's append-only log. Implementations are safe for use by several threads. */
public interface PlatformLog {
    /**
     * Appends a record and returns its offset.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE} when nothing was
     *     appended, or {@code LOG_OUTCOME_UNKNOWN} when the record may have been appended
     */
    long append(byte[] payload);

    /**
     * Reads records from an offset on; if there are none yet, waits for them for at most the given time.
     *
     * @throws org.cicadalead.model.error.CicadaleadException with kind {@code PLATFORM_UNAVAILABLE}
     */
    LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait);

    /**
     * Consecutive records of the log, in order.
     *
     * @param oldestOffset offset of the oldest record that the log still retains
     * @param nextOffset offset that the next append will get
     * @param records the records; the first may lie after the offset asked for when older ones have expired
     */
    record LogBatch(long oldestOffset, long nextOffset, List<LogRecord> records) {
        /** Copies the list. */
        public LogBatch {
            records = List.copyOf(records);
        }
    }

    /**
     * A record of the log.
     *
     * @param offset offset of the record; the first offset of a log is 1
     * @param payload content of the record; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record LogRecord(long offset, byte[] payload) {}
}
