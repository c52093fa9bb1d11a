package org.cicadalead.adapters.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.PlatformLog;

/** An in-memory platform log with fault injection and explicit expiry. Safe for use by several threads. */
public final class LogStandIn implements PlatformLog {
    private final List<LogRecord> records = new ArrayList<>();
    private long nextOffset = 1;
    private boolean available = true;
    private int repliesToLose;
    private volatile Duration delay = Duration.ZERO;

    @Override
    public long append(byte[] payload) {
        waitForDelay();
        return store(payload);
    }

    @Override
    public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        waitForDelay();
        return readStored(fromOffset, maximumRecords, maximumWait);
    }

    private synchronized long store(byte[] payload) {
        requireAvailable();
        long offset = nextOffset++;
        records.add(new LogRecord(offset, payload.clone()));
        notifyAll();
        if (repliesToLose > 0) {
            repliesToLose--;
            throw new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "The reply is lost; the record is stored");
        }
        return offset;
    }

    private synchronized LogBatch readStored(long fromOffset, int maximumRecords, Duration maximumWait) {
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

    /** Loses the replies to the next appends; their records are stored nevertheless. */
    public synchronized void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Sets the delay of every append and read. */
    public void setDelay(Duration newDelay) {
        delay = newDelay;
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

    private void waitForDelay() {
        try {
            Thread.sleep(delay.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
