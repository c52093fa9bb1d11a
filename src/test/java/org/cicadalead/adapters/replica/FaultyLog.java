package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.ports.PlatformLog;

/** In-memory log into which a test injects faults. Reads never wait. For use by one thread. */
final class FaultyLog {
    private final List<PlatformLog.LogRecord> records = new ArrayList<>();
    private final Deque<byte[]> delayedAppends = new ArrayDeque<>();
    private long nextOffset = 1;
    private long oldestOffset = 1;
    private boolean outage;
    private int repliesToLose;
    private int appendsToDelay;
    private int readsToRepeat;
    private int readsToDelay;

    void setOutage(boolean newOutage) {
        outage = newOutage;
    }

    void loseReplies(int count) {
        repliesToLose += count;
    }

    void delayAppends(int count) {
        appendsToDelay += count;
    }

    void repeatReads(int count) {
        readsToRepeat += count;
    }

    void delayReads(int count) {
        readsToDelay += count;
    }

    /** Applies the oldest delayed append, long after its writer was told that the outcome is unknown. */
    void completeDelayedAppend() {
        if (!delayedAppends.isEmpty()) {
            store(delayedAppends.removeFirst());
        }
    }

    void expireBefore(long offset) {
        oldestOffset = Math.max(oldestOffset, Math.min(offset, nextOffset));
    }

    void heal() {
        outage = false;
        repliesToLose = 0;
        appendsToDelay = 0;
        readsToRepeat = 0;
        readsToDelay = 0;
        while (!delayedAppends.isEmpty()) {
            completeDelayedAppend();
        }
    }

    long endOffset() {
        return nextOffset - 1;
    }

    long oldestOffset() {
        return oldestOffset;
    }

    /** Returns every record ever stored, including expired ones, for the oracle. */
    List<PlatformLog.LogRecord> allRecords() {
        return records;
    }

    /** Creates a client of the log for one process; calls fail while the given supplier returns true. */
    PlatformLog createClient(java.util.function.BooleanSupplier isCut) {
        return new PlatformLog() {
            @Override
            public long append(byte[] payload) {
                requireReachable(isCut.getAsBoolean());
                return FaultyLog.this.append(payload);
            }

            @Override
            public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
                requireReachable(isCut.getAsBoolean());
                return FaultyLog.this.read(fromOffset, maximumRecords);
            }
        };
    }

    private void requireReachable(boolean isCut) {
        if (isCut || outage) {
            throw new CicadaleadException(ErrorKind.PLATFORM_UNAVAILABLE, "the log is unreachable");
        }
    }

    private long append(byte[] payload) {
        if (appendsToDelay > 0) {
            appendsToDelay--;
            delayedAppends.addLast(payload);
            throw new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "no reply yet");
        }
        long offset = store(payload);
        if (repliesToLose > 0) {
            repliesToLose--;
            throw new CicadaleadException(ErrorKind.LOG_OUTCOME_UNKNOWN, "reply lost");
        }
        return offset;
    }

    private long store(byte[] payload) {
        records.add(new PlatformLog.LogRecord(nextOffset, payload));
        return nextOffset++;
    }

    private PlatformLog.LogBatch read(long fromOffset, int maximumRecords) {
        long firstOffset = fromOffset;
        if (readsToRepeat > 0) {
            readsToRepeat--;
            firstOffset = Math.max(1, fromOffset - 3);
        }
        long visibleEnd = nextOffset;
        if (readsToDelay > 0) {
            readsToDelay--;
            visibleEnd = Math.max(oldestOffset, nextOffset - 2);
        }
        List<PlatformLog.LogRecord> visibleRecords = new ArrayList<>();
        for (long offset = Math.max(firstOffset, oldestOffset); offset < visibleEnd; offset++) {
            if (visibleRecords.size() < maximumRecords) {
                visibleRecords.add(records.get((int) offset - 1));
            }
        }
        return new PlatformLog.LogBatch(oldestOffset, visibleEnd, visibleRecords);
    }
}
