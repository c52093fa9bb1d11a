package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.logic.membership.ViewLease;
import org.cicadalead.ports.PlatformLog;
import org.cicadalead.ports.TimerService;

/**
 * A platform log that remembers its newest answered reads, each of which is a view lease on every host: the log said
 * how far it went at some moment after the read was sent. Safe for use by several threads.
 */
public final class ContactTrackingLog implements PlatformLog {
    private final PlatformLog log;
    private final TimerService timers;
    private final AtomicReference<Contacts> contacts =
            new AtomicReference<>(new Contacts(Optional.empty(), Optional.empty()));

    /** Creates a log that passes everything on. */
    public ContactTrackingLog(PlatformLog log, TimerService timers) {
        this.log = log;
        this.timers = timers;
    }

    @Override
    public long append(byte[] payload) {
        return log.append(payload);
    }

    @Override
    public LogBatch read(long fromOffset, int maximumRecords, Duration maximumWait) {
        long sentAt = timers.nanoTime();
        LogBatch batch = log.read(fromOffset, maximumRecords, maximumWait);
        ViewLease lease = new ViewLease(sentAt, batch.nextOffset() - 1);
        contacts.updateAndGet(before -> new Contacts(Optional.of(lease), before.newest()));
        return batch;
    }

    /** Returns the newest lease that covers a view at an offset, whether or not it has lapsed. */
    public Optional<ViewLease> findLease(long offset) {
        Contacts current = contacts.get();
        return current.newest()
                .filter(lease -> offset >= lease.requiredOffset())
                .or(() -> current.previous().filter(lease -> offset >= lease.requiredOffset()));
    }

    /**
     * The two newest answered reads; the newest one's records may not be folded yet.
     *
     * @param newest the newest
     * @param previous the one before
     */
    private record Contacts(Optional<ViewLease> newest, Optional<ViewLease> previous) {}
}
