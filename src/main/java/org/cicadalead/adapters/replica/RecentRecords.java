package org.cicadalead.adapters.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cicadalead.ports.PlatformLog.LogRecord;

/**
 * Buffers the newest records that this process has folded, to relay them to other processes. Limited in bytes; the
 * records are consecutive, without a gap. Safe for use by several threads.
 */
final class RecentRecords {
    private static final int MAX_KEPT_BYTES = 4 << 20;

    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long firstCoveredOffset = 1;
    private long lastCoveredOffset;
    private long keptBytes;

    /** Adds the record that follows the buffered ones; ignores an older record. */
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

    /** Removes all records, as the state now includes everything up to an offset without having folded the records. */
    synchronized void resetTo(long offset) {
        records.clear();
        keptBytes = 0;
        firstCoveredOffset = offset + 1;
        lastCoveredOffset = offset;
    }

    /**
     * Returns records from an offset on, up to a number of bytes but at least one if there is any; empty when that
     * offset is no longer buffered.
     */
    synchronized Optional<List<LogRecord>> readFrom(long offset, int maximumBytes) {
        if (offset < firstCoveredOffset) {
            return Optional.empty();
        }
        List<LogRecord> selected = new ArrayList<>();
        int bytes = 0;
        for (LogRecord record : records) {
            if (record.offset() < offset) {
                continue;
            }
            bytes += record.payload().length;
            if (bytes > maximumBytes && !selected.isEmpty()) {
                break;
            }
            selected.add(record);
        }
        return Optional.of(selected);
    }
}
