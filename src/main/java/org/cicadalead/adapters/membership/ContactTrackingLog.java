package org.cicadalead.adapters.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cicadalead.logic.membership.ViewLease;
import org.cicadalead.ports.PlatformLog;
import org.cicadalead.ports.TimerService;

/**
 * A platform log that remembers its two newest successful reads. Each of them is a view lease on every host, because
 * the log reported its end offset at some moment after the read was sent. Safe for use by several threads.
 */
public final class ContactTrackingLog implements PlatformLog {
    private final PlatformLog log;
    private final TimerService timers;
    private final AtomicReference<Contacts> contacts =
            new AtomicReference<>(new Contacts(Optional.empty(), Optional.empty()));

    /** Creates a log that delegates to another log. */
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
        contacts.updateAndGet(previousContacts -> new Contacts(Optional.of(lease), previousContacts.newest()));
        return batch;
    }

    /** Returns the newest lease for a view at an offset, whether or not it has expired. */
    public Optional<ViewLease> findLease(long offset) {
        Contacts current = contacts.get();
        return current.newest()
                .filter(lease -> offset >= lease.requiredOffset())
                .or(() -> current.previous().filter(lease -> offset >= lease.requiredOffset()));
    }

    /**
     * The leases from the two newest reads. The records of the newest read may not be folded yet.
     *
     * @param newest the lease from the newest read
     * @param previous the lease from the read before it
     */
    private record Contacts(Optional<ViewLease> newest, Optional<ViewLease> previous) {}
}
