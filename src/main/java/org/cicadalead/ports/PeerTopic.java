package org.cicadalead.ports;

/** Topics of the calls and heartbeat parts between entry processes. Names are sent on the wire and must not change. */
public enum PeerTopic {
    /** Applied offset and liveness of a process, in each heartbeat. */
    HEARTBEAT,
    /** Load of the upstreams as observed by a process, in each heartbeat. */
    LOAD,
    /** Records of the log, relayed to a process that has no connection to the platform. */
    RECORDS,
    /** A snapshot of the shared state, relayed to a process that starts or was disconnected for too long. */
    SNAPSHOT,
    /** A view lease on the hosts of an availability zone. */
    VIEW_LEASE,
    /** A join that a member sponsors while the platform is unavailable. */
    SPONSORED_JOIN,
    /** A request with an idempotency key, between the process that received it and the home process of the key. */
    KEYED_REQUEST,
    /** A slot of a worker, between a process and the dispatcher of the service. */
    SLOT,
    /** The newest events of a process's timeline. */
    TIMELINE
}
