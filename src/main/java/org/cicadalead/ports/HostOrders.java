package org.cicadalead.ports;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;

/**
 * Sends orders to hosts. Each order names the host that it is for and the epoch of the leader that sends it. The
 * returned futures never complete exceptionally. Implementations are safe for use by several threads.
 */
public interface HostOrders {
    /** Starts a run; completes with what is known of the start. */
    CompletableFuture<StartReply> start(StartOrder order);

    /** Stops a run; the outcome tells whether the host confirmed it. */
    CompletableFuture<OrderReply> stop(Target target, RunKey run);

    /** Sets the speed of a run, in percent of its full speed. */
    CompletableFuture<OrderReply> pace(Target target, RunKey run, int percentage);

    /** Renews the lease of a host, acknowledges ended runs and lists the runs. */
    CompletableFuture<PollResult> poll(Target target, OptionalLong deadline, long acknowledged, Duration wait);

    /**
     * Destination and sender of an order.
     *
     * @param host identifier of the host that the order is for
     * @param address address on which the host listens
     * @param epoch epoch of the leader that sends the order, used as the fencing token
     */
    record Target(String host, String address, long epoch) {}

    /**
     * An order to start a run.
     *
     * @param target the host
     * @param run the run
     * @param payload task to run
     * @param deadline end of the lease on the host's clock in milliseconds
     * @param checkpoint checkpoint to resume from; empty to start from the beginning
     * @param ticket permission of the external policy, if there is one
     */
    record StartOrder(
            Target target, RunKey run, String payload, long deadline, String checkpoint, Optional<String> ticket) {}

    /**
     * Reply to an order to start a run.
     *
     * @param outcome what is known of the start
     * @param clockMilliseconds reading of the host's clock in its reply; empty if it did not reply itself
     */
    record StartReply(StartOutcome outcome, OptionalLong clockMilliseconds) {}

    /**
     * Reply to another order.
     *
     * @param outcome outcome of the order
     * @param clockMilliseconds as in {@link StartReply}
     */
    record OrderReply(OrderOutcome outcome, OptionalLong clockMilliseconds) {}

    /** Outcome of an order. */
    enum OrderOutcome {
        /** The host confirmed the order. */
        CONFIRMED,
        /** The host knows a later term. */
        FENCED,
        /** Another process responds at the address. */
        OTHER_HOST,
        /** The host did not respond, or its response does not tell the outcome. */
        UNKNOWN
    }

    /**
     * Result of a host poll.
     *
     * @param outcome outcome of the poll
     * @param listing runs of the host, if it confirmed the poll
     */
    record PollResult(OrderOutcome outcome, Optional<HostListing> listing) {}
}
