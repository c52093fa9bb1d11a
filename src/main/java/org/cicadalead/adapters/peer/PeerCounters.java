package org.cicadalead.adapters.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts of the channel, for metrics and measurements. Safe for use by several threads. */
public final class PeerCounters {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder framesRejected = new LongAdder();
    final LongAdder failedParts = new LongAdder();
    final LongAdder authenticationFailures = new LongAdder();

    /** Returns parts of heartbeats that could not be made. */
    public long failedParts() {
        return failedParts.sum();
    }

    /** Returns bytes handed to sockets. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns bytes read from sockets. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns frames handed to sockets. */
    public long framesSent() {
        return framesSent.sum();
    }

    /** Returns frames read from sockets. */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /** Returns frames that broke the protocol; each closed its connection. */
    public long framesRejected() {
        return framesRejected.sum();
    }

    /** Returns connections that were closed because the other end did not prove a key. */
    public long authenticationFailures() {
        return authenticationFailures.sum();
    }
}
