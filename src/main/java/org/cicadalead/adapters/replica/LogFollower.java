package org.cicadalead.adapters.replica;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.ports.CommandCodec;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlatformLog;

/** Reads the platform log in a thread of its own and folds it into the replica. Safe for use by several threads. */
public final class LogFollower implements AutoCloseable {
    private static final int BATCH_RECORDS = 500;
    private static final Duration READ_WAIT = Duration.ofSeconds(2);
    private static final long FIRST_BACKOFF_MILLISECONDS = 50;
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

    private final PlatformLog log;
    private final CommandCodec codec;
    private final SharedStateReplica replica;
    private final EventSink events;
    private final Thread thread = new Thread(this::run, "log-follower");
    private volatile boolean closed;
    private volatile boolean reachable;

    /** Creates a follower; {@link #start} starts it. */
    public LogFollower(PlatformLog log, CommandCodec codec, SharedStateReplica replica, EventSink events) {
        this.log = log;
        this.codec = codec;
        this.replica = replica;
        this.events = events;
    }

    /** Starts reading. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Tells whether the last read reached the platform. */
    public boolean isReachable() {
        return reachable;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        long backoff = FIRST_BACKOFF_MILLISECONDS;
        while (!closed) {
            try {
                readOnce();
                noteReachable(true);
                backoff = FIRST_BACKOFF_MILLISECONDS;
            } catch (CicadaleadException failure) {
                noteReachable(false);
                pause(backoff);
                backoff = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, backoff * 2);
            }
        }
    }

    private void readOnce() {
        PlatformLog.LogBatch batch = log.read(replica.state().offset() + 1, BATCH_RECORDS, READ_WAIT);
        for (PlatformLog.LogRecord record : batch.records()) {
            Optional<CommandEnvelope> envelope = codec.decode(record.payload());
            if (envelope.isEmpty()) {
                events.emit(EventKind.RECORD_UNREADABLE, Optional.empty(), EventDetail.of("offset", record.offset()));
            }
            replica.apply(record.offset(), envelope);
        }
    }

    private void noteReachable(boolean now) {
        if (reachable != now) {
            reachable = now;
            events.emit(now ? EventKind.PLATFORM_LOG_RETURNED : EventKind.PLATFORM_LOG_UNAVAILABLE, Optional.empty());
        }
    }

    /** Waits for half to all of a delay, so that many processes do not return together. */
    private static void pause(long milliseconds) {
        try {
            Thread.sleep(ThreadLocalRandom.current().nextLong(milliseconds / 2, milliseconds + 1));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
