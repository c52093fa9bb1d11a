package org.cicadalead.adapters.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counters of the peer channel, for metrics and benchmarks. Safe for use by several threads. */
public final class PeerCounters {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder framesRejected = new LongAdder();
    final LongAdder failedParts = new LongAdder();
    final LongAdder authenticationFailures = new LongAdder();

    /** Returns the number of heartbeat parts whose supplier failed. */
    public long failedParts() {
        return failedParts.sum();
    }

    /** Returns the number of bytes written to sockets. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Returns the number of bytes read from sockets. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Returns the number of frames written to sockets. */
    public long framesSent() {
        return framesSent.sum();
    }

    /** Returns the number of frames read from sockets. */
    public long framesReceived() {
        return framesReceived.sum();
    }

    /** Returns the number of frames that violated the protocol; each closed its connection. */
    public long framesRejected() {
        return framesRejected.sum();
    }

    /** Returns the number of connections that were closed because the other end did not prove a shared key. */
    public long authenticationFailures() {
        return authenticationFailures.sum();
    }
}
