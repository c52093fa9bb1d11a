package org.cicadalead.ports;

/** The closed list of what entry processes say to each other. The name travels on the wire and is never changed. */
public enum PeerTopic {
    /** Applied offset and liveness of a process, in each heartbeat. */
    HEARTBEAT,
    /** Load of the upstreams as a process sees it, in each heartbeat. */
    LOAD,
    /** Records of the log, relayed to a process whose own way to the platform is cut. */
    RECORDS,
    /** A snapshot of the shared state, relayed to a process that starts or was away too long. */
    SNAPSHOT,
    /** A view lease on the hosts of an availability zone. */
    VIEW_LEASE,
    /** A join that a member vouches for while the platform is down. */
    SPONSORED_JOIN,
    /** A request with an idempotency key, between the process that took it and the home process of the key. */
    KEYED_REQUEST,
    /** A slot of a worker, between a process and the dispatcher of the service. */
    SLOT,
    /** The newest events of a process's time line. */
    TIMELINE
}
