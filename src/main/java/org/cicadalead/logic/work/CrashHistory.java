package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.cicadalead.model.work.HostLoss;
import org.cicadalead.model.work.HostLoss.Outcome;

/**
 * The hosts that were lost with runs of one task, at most one entry a process of a host, and what follows for its next
 * runs. A crash is evidence against the runs that were starting on the host; against those that it had already outlived
 * it is weaker, as a task that crashes hosts does so at every start. Not thread-safe.
 */
final class CrashHistory {
    /**
     * Crashes at the start of a run, presumed ones included, after which the task is given up if one of them had no
     * other possible cause.
     */
    private static final int CRASHES_WITH_ISOLATED_ONE = 2;

    /**
     * Crashes at the start of a run, presumed and possible ones included, after which the task is given up in any case.
     */
    private static final int START_CRASHES = 3;

    /** Lost hosts after which the task is given up, of which fewer are known to have crashed. */
    private static final int MAX_LOSSES = 5;

    /** Crashes beside other runs, after their start, from which the next run gets a host of its own. */
    private static final int CRASHES_BEFORE_OWN_HOST = 2;

    /** Lost hosts, after the start, from which it does so whatever else explains the losses. */
    private static final int LOSSES_BEFORE_OWN_HOST = 4;

    private final List<HostLoss> losses = new ArrayList<>();

    List<HostLoss> losses() {
        return List.copyOf(losses);
    }

    boolean isEmpty() {
        return losses.isEmpty();
    }

    /** Adds a loss, in place of one of the same process of the host with an unknown outcome; returns whether it did. */
    boolean add(HostLoss loss) {
        if (count(known -> !known.outcome().isOpen() && isSameLoss(known, loss)) > 0) {
            return false;
        }
        losses.removeIf(known -> isSameLoss(known, loss));
        return losses.add(loss);
    }

    /** A run is lost once, also when it is not known to have ended until its host was lost a second time. */
    private static boolean isSameLoss(HostLoss loss, HostLoss other) {
        boolean isSameRun = loss.host().equals(other.host()) && loss.attempt() == other.attempt();
        return isSameRun || loss.concerns(other.host(), other.bornMilliseconds());
    }

    /** Returns whether there is a loss of a host with an unknown outcome. */
    boolean isOpenOn(String host) {
        return count(loss -> loss.isOpenOn(host)) > 0;
    }

    /** Removes the losses of a host with an unknown outcome, as it lives; returns whether there were any. */
    boolean removeOpen(String host) {
        return losses.removeIf(loss -> loss.isOpenOn(host));
    }

    /**
     * Resolves the losses of a host with an unknown outcome, as its process has ended.
     *
     * @param isExplained whether something else explains the end
     */
    void resolveOpen(String host, boolean isExplained) {
        losses.replaceAll(loss -> loss.isOpenOn(host)
                ? loss.withOutcome(
                        isExplained ? Outcome.EXPLAINED : loss.outcome().afterEnd())
                : loss);
    }

    /** Records that a run has outlived its start, so that earlier crashes at a start had other causes. */
    boolean onStartOutlived() {
        boolean changed = losses.removeIf(loss -> loss.outcome().isOpen()) || count(HostLoss::starting) > 0;
        losses.replaceAll(HostLoss::afterStart);
        return changed;
    }

    /** Forgets all losses, as the task has run for long. */
    void clear() {
        losses.clear();
    }

    /** Returns whether the next start may crash its host, so that no other one may begin beside it. */
    boolean isSuspect() {
        return count(HostLoss::starting) > 0 || needsOwnHost();
    }

    /**
     * Returns whether the next run needs a host without other runs: it is likely to crash, or earlier crashes came
     * after the start, where only a run without others can be told from those beside it.
     */
    boolean needsOwnHost() {
        return isLikelyCause()
                || count(loss -> loss.isCrash() && !loss.starting()) >= CRASHES_BEFORE_OWN_HOST
                || count(loss -> !loss.starting()) >= LOSSES_BEFORE_OWN_HOST;
    }

    /** Returns whether a host has crashed at a start of the task without another possible cause. */
    boolean isLikelyCause() {
        return countIsolatedStartCrashes() > 0;
    }

    private int countIsolatedStartCrashes() {
        return count(loss -> loss.isCrash() && loss.starting() && loss.isolated());
    }

    /** Returns whether the task has to be given up. */
    boolean mustGiveUp() {
        int crashes = count(HostLoss::isCrash);
        int startCrashes = count(loss -> loss.starting() && (loss.isCrash() || loss.outcome() == Outcome.PRESUMED));
        int possibleCrashes = count(loss -> loss.starting() && loss.outcome() == Outcome.POSSIBLE);
        boolean crashedOwnHost = (crashes > CRASHES_BEFORE_OWN_HOST || losses.size() > LOSSES_BEFORE_OWN_HOST)
                && count(loss -> loss.isCrash() && loss.isolated()) > 0;
        return (startCrashes >= CRASHES_WITH_ISOLATED_ONE && isLikelyCause())
                || startCrashes + possibleCrashes >= START_CRASHES
                || crashedOwnHost
                || (losses.size() >= MAX_LOSSES && startCrashes >= CRASHES_WITH_ISOLATED_ONE);
    }

    /**
     * Returns whether the task has to be given up instead of one more start: hosts whose outcome is unknown count here,
     * as they may stay so, beside two that have ended for certain.
     */
    boolean mustGiveUpBeforeStart() {
        int ended = count(loss -> !loss.outcome().isOpen() && loss.outcome() != Outcome.POSSIBLE);
        return mustGiveUp()
                || (ended >= CRASHES_WITH_ISOLATED_ONE
                        && count(HostLoss::starting) >= (isLikelyCause() ? START_CRASHES : LOSSES_BEFORE_OWN_HOST));
    }

    private int count(Predicate<HostLoss> filter) {
        int count = 0;
        for (HostLoss loss : losses) {
            count += filter.test(loss) ? 1 : 0;
        }
        return count;
    }
}
