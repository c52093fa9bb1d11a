package org.cicadalead.ports;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;

/**
 * Orders to hosts. Every order names the host that is meant and the term of the process that gives it. Calls never fail
 * exceptionally. Implementations are safe for use by several threads.
 */
public interface HostOrders {
    /** Starts a run. */
    CompletableFuture<StartOutcome> start(StartOrder order);

    /** Stops a run; the answer tells whether the host confirmed it. */
    CompletableFuture<OrderOutcome> stop(Target target, RunKey run);

    /** Sets the speed of a run in percent. */
    CompletableFuture<OrderOutcome> pace(Target target, RunKey run, int percentage);

    /** Renews the lease, acknowledges ends and lists the runs. */
    CompletableFuture<PollResult> poll(Target target, OptionalLong deadline, long acknowledged, Duration wait);

    /**
     * Where an order goes and by whom it is given.
     *
     * @param host identifier of the host that is meant
     * @param address where it listens
     * @param epoch term of the scheduling process
     */
    record Target(String host, String address, long epoch) {}

    /**
     * An order to start a run.
     *
     * @param target the host
     * @param run the run
     * @param payload what to run
     * @param deadline end of the lease on the host's clock in milliseconds
     * @param checkpoint where to resume, empty for the beginning
     * @param ticket permission of the outside policy, where there is one
     */
    record StartOrder(
            Target target, RunKey run, String payload, long deadline, String checkpoint, Optional<String> ticket) {}

    /** What became of an order. */
    enum OrderOutcome {
        /** The host confirmed it. */
        CONFIRMED,
        /** The host knows a later term. */
        FENCED,
        /** Another process answers at the address. */
        OTHER_HOST,
        /** No answer came, or one that tells nothing. */
        UNKNOWN
    }

    /**
     * The answer to a look.
     *
     * @param outcome what became of it
     * @param listing the runs, where the host confirmed
     */
    record PollResult(OrderOutcome outcome, Optional<HostListing> listing) {}
}
