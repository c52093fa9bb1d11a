package org.cicadalead.adapters.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cicadalead.ports.PlatformLog.LogRecord;

/**
 * The newest records that this process has folded, kept to be relayed to others. Bounded in bytes; without a gap from
 * the first to the last. Safe for use by several threads.
 */
final class RecentRecords {
    private static final int MAX_KEPT_BYTES = 4 << 20;

    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long firstCoveredOffset = 1;
    private long lastCoveredOffset;
    private long keptBytes;

    /** Adds the record that follows the covered ones. */
    synchronized void add(LogRecord record) {
        if (record.offset() <= lastCoveredOffset) {
            return;
        }
        records.addLast(record);
        lastCoveredOffset = record.offset();
        keptBytes += record.payload().length;
        while (keptBytes > MAX_KEPT_BYTES) {
            LogRecord dropped = records.removeFirst();
            keptBytes -= dropped.payload().length;
            firstCoveredOffset = dropped.offset() + 1;
        }
    }

    /** Forgets everything, as the state now holds all up to an offset without its records. */
    synchronized void resetTo(long offset) {
        records.clear();
        keptBytes = 0;
        firstCoveredOffset = offset + 1;
        lastCoveredOffset = offset;
    }

    /** Returns records from an offset on, up to a number of bytes; empty when that offset is no longer covered. */
    synchronized Optional<List<LogRecord>> readFrom(long offset, int maximumBytes) {
        if (offset < firstCoveredOffset) {
            return Optional.empty();
        }
        List<LogRecord> found = new ArrayList<>();
        int bytes = 0;
        for (LogRecord record : records) {
            if (record.offset() < offset) {
                continue;
            }
            bytes += record.payload().length;
            if (bytes > maximumBytes && !found.isEmpty()) {
                break;
            }
            found.add(record);
        }
        return Optional.of(found);
    }
}
