package org.cicadalead.logic.work;

import org.cicadalead.model.work.StepSpecification;

/** Why a host gets no task of a step, in the order in which the causes are named when several apply. */
enum HostExclusion {
    /** It is not in the registry. */
    NOT_REGISTERED,
    /** It has not replied in this term. */
    NO_REPLY_YET,
    /** It has not replied for too long. */
    UNREACHABLE,
    /** Its last poll failed, so it may have restarted. */
    MAY_HAVE_RESTARTED,
    /** It has restarted, and the registry has no entry of its present process yet. */
    AWAITS_ENTRY,
    /** It replies, but a stored announcement still tells a successor that it does not. */
    AWAITS_ANNOUNCEMENT,
    /** It registered that it is about to leave. */
    DRAINING,
    /** Its machine is to be maintained or moved. */
    CORDONED,
    /** Its machine is leaving its pool. */
    LEAVING,
    /** Runs failed on it, or it rejected some. */
    AFTER_FAILURES,
    /** It does not have the label that the step requires. */
    WITHOUT_LABEL,
    /** It runs as many tasks of the step as one host may. */
    MAXIMUM_PER_HOST,
    /** The external policy has given no valid ticket for it. */
    NO_TICKET,
    /** Too little of its capacity is free. */
    NO_ROOM,
    /** Nothing excludes it. */
    NONE;

    /** Finds why a host that accepts work gets no task of a step. */
    static HostExclusion findForStep(WorkStep step, WorkHost host, long now) {
        StepSpecification specification = step.specification;
        if (!specification.requiredLabel().map(host.entry.labels()::contains).orElse(true)) {
            return WITHOUT_LABEL;
        }
        if (specification.maximumPerHost() > 0 && step.countTasksOn(host) >= specification.maximumPerHost()) {
            return MAXIMUM_PER_HOST;
        }
        if (step.tickets != null
                && step.tickets.findTicket(host.identifier, now).isEmpty()) {
            return NO_TICKET;
        }
        return step.requiredCapacity.fitsInto(host.freeCapacity()) ? NONE : NO_ROOM;
    }

    /** Finds why a host gets no work at all; {@link #NONE} exactly when {@link WorkHost#canAcceptWork} holds. */
    static HostExclusion findForAnyStep(WorkHost host, long now) {
        if (!host.registered) {
            return NOT_REGISTERED;
        }
        if (!host.repliedThisTerm) {
            return NO_REPLY_YET;
        }
        if (host.isUnreachable(now)) {
            return UNREACHABLE;
        }
        if (host.incarnationUnknown) {
            return MAY_HAVE_RESTARTED;
        }
        if (!host.hasEntryOfPresentProcess()) {
            return AWAITS_ENTRY;
        }
        if (!host.canReceiveLease(now)) {
            return AWAITS_ANNOUNCEMENT;
        }
        if (host.entry.draining()) {
            return DRAINING;
        }
        if (host.cordoned) {
            return CORDONED;
        }
        if (host.leaving) {
            return LEAVING;
        }
        return now < host.excludedUntil() ? AFTER_FAILURES : NONE;
    }

    /**
     * Returns the milliseconds that tell how long the cause has lasted, or will last for {@link #AFTER_FAILURES}; 0
     * where that is unknown.
     */
    long duration(WorkHost host, long now) {
        return switch (this) {
            case UNREACHABLE, MAY_HAVE_RESTARTED -> now - host.lastReplyAt;
            case AFTER_FAILURES -> host.excludedUntil() - now;
            default -> 0;
        };
    }
}
