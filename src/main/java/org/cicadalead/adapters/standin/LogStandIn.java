package org.cicadalead.adapters.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.PlatformLog;

/** A platform log in memory, with an outage switch and expiry by hand. Safe for use by several threads. */
public final class LogStandIn implements PlatformLog {
    private final List<LogRecord> records = new ArrayList<>();
    private long nextOffset = 1;
    private boolean available = true;

    @Override
    public synchronized long append(byte[] payload) {
        requireAvailable();
        records.add(new LogRecord(nextOffset, payload.clone()));
        notifyAll();
        return nextOffset++;
    }

    @Override
    public synchronized LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        requireAvailable();
        awaitRecord(fromOffset, maximumWait);
        requireAvailable();
        List<LogRecord> found = new ArrayList<>();
        int first = (int) Math.max(0, fromOffset - oldestOffset());
        for (int index = first; index < records.size() && found.size() < maximumRecords; index++) {
            found.add(records.get(index));
        }
        return new LogBatch(oldestOffset(), nextOffset, found);
    }

    /** Starts or ends an outage. */
    public synchronized void setAvailable(boolean newAvailable) {
        available = newAvailable;
        notifyAll();
    }

    /** Expires all records before an offset. */
    public synchronized void expireBefore(long offset) {
        records.removeIf(record -> record.offset() < offset);
    }

    private long oldestOffset() {
        return records.isEmpty() ? nextOffset : records.get(0).offset();
    }

    private void requireAvailable() {
        if (!available) {
            throw new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "The log is in an outage");
        }
    }

    private void awaitRecord(long fromOffset, Duration maximumWait) {
        long deadline = System.nanoTime() + maximumWait.toNanos();
        while (available && nextOffset <= fromOffset) {
            long milliseconds = Duration.ofNanos(deadline - System.nanoTime()).toMillis();
            if (milliseconds <= 0) {
                return;
            }
            try {
                wait(milliseconds);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
