package org.cicadalead.adapters.quickstart;

import java.util.Optional;

/**
 * The counts of callers and workers at the end of a scenario. Immutable.
 *
 * @param deployment the deployment's name
 * @param requestsSent number of requests that callers sent
 * @param answered requests whose caller received the complete response to them
 * @param refusedAsNotRun requests that were refused, with a response that states that they were not run
 * @param outcomeUnknown requests whose response states that their outcome is unknown
 * @param lost requests that received no response
 * @param answeredWrongly requests that received anything else than the complete response to them
 * @param runTwice non-idempotent requests that ran more than once
 * @param refusedButRun requests that were refused as not run although a worker ran them
 * @param budgetViolations how many times a service fell below the minimum of available hosts in its budget
 * @param cutOffByReboot requests that were running on a host when its planned reboot started
 * @param configurationSecondsToInForce seconds from publishing a change until it was in force in every entry process
 * @param bufferCostHostHours idle capacity, in host-hours
 * @param rollOutSeconds duration of the maintenance wave in seconds; absent when it did not finish before the timeout
 * @param moves how many times a host changed its pool
 */
public record QuickstartReport(
        String deployment,
        long requestsSent,
        long answered,
        long refusedAsNotRun,
        long outcomeUnknown,
        long lost,
        long answeredWrongly,
        long runTwice,
        long refusedButRun,
        int budgetViolations,
        int cutOffByReboot,
        double configurationSecondsToInForce,
        double bufferCostHostHours,
        Optional<Double> rollOutSeconds,
        int moves) {
    /** Returns whether the scenario had no loss, no wrong or repeated execution and no budget violation. */
    public boolean isClean() {
        return lost == 0
                && answeredWrongly == 0
                && runTwice == 0
                && refusedButRun == 0
                && budgetViolations == 0
                && cutOffByReboot == 0;
    }

    /** Returns the report as readable text. */
    public String toText() {
        return String.format(
                "%s: %d sent, %d answered, %d refused as not run, %d outcome unknown, %d lost, %d answered wrongly,"
                        + " %d run twice, %d refused but run, %d budget violations, %d cut off by reboots;"
                        + " configuration in force after %.3f s, buffer cost %.3f host-hours, wave %s s, %d moves",
                deployment,
                requestsSent,
                answered,
                refusedAsNotRun,
                outcomeUnknown,
                lost,
                answeredWrongly,
                runTwice,
                refusedButRun,
                budgetViolations,
                cutOffByReboot,
                configurationSecondsToInForce,
                bufferCostHostHours,
                rollOutSeconds.map(String::valueOf).orElse("not over"),
                moves);
    }
}
