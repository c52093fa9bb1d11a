package org.cicadalead.model.work;

/**
 * A host that was lost while it had a run of a task, or may be. Stored with the progress of the task's job before a run
 * is started that is suspected to crash its host, so that no change of the leader loses the count. Immutable.
 *
 * @param attempt number of the run
 * @param host identifier of the host
 * @param address address of the host; another host that registers there shows that this one has ended
 * @param bornMilliseconds wall clock time in milliseconds when the host's process started
 * @param starting whether the host was not known to have outlived the start of the run
 * @param isolated whether no other run can have caused the loss: no other one was starting, or no other one was there
 * @param outcome what became of the host
 */
public record HostLoss(
        long attempt,
        String host,
        String address,
        long bornMilliseconds,
        boolean starting,
        boolean isolated,
        Outcome outcome) {
    /** Returns whether this is about the given process of a host. */
    public boolean concerns(String identifier, long born) {
        return host.equals(identifier) && bornMilliseconds == born;
    }

    /** Returns whether it is not known yet what became of the given host. */
    public boolean isOpenOn(String identifier) {
        return outcome.isOpen() && host.equals(identifier);
    }

    /** Returns whether the loss is evidence against the task. */
    public boolean isCrash() {
        return outcome == Outcome.CRASHED;
    }

    /** Returns this loss with another outcome. */
    public HostLoss withOutcome(Outcome newOutcome) {
        return new HostLoss(attempt, host, address, bornMilliseconds, starting, isolated, newOutcome);
    }

    /** Returns this loss of a task that has outlived a start since, so that its starts do not crash hosts. */
    public HostLoss afterStart() {
        return new HostLoss(attempt, host, address, bornMilliseconds, false, false, outcome);
    }

    /** What became of a host. */
    public enum Outcome {
        /** The run is about to start there, or has started. */
        PLANNED,
        /** It does not reply since the run started; it may go on. */
        UNKNOWN,
        /** Its process has ended for certain with the run on it, and nothing else explains that. */
        CRASHED,
        /** Its process has ended for certain, after it did not reply since the run started. */
        PRESUMED,
        /** Its process has ended for certain, but the run may not have started there, or have ended before. */
        POSSIBLE,
        /** Its process has ended for certain; other runs or the loss of its rack explain that. */
        EXPLAINED;

        /** Returns whether it is not known yet what became of the host. */
        public boolean isOpen() {
            return this == PLANNED || this == UNKNOWN;
        }

        /** Returns what becomes of this when the process of the host is known to have ended, and nothing else. */
        public Outcome afterEnd() {
            return switch (this) {
                case PLANNED -> POSSIBLE;
                case UNKNOWN -> PRESUMED;
                default -> this;
            };
        }
    }
}
