package org.cicadalead.adapters.quickstart;

import java.util.Optional;

/**
 * What callers and workers counted in a day. Immutable.
 *
 * @param deployment the deployment's name
 * @param requestsSent requests that callers sent
 * @param answered requests that got their whole own answer
 * @param refusedAsNotRun requests that were refused as not run
 * @param outcomeUnknown requests whose outcome callers were told is unknown
 * @param lost requests that got no answer
 * @param answeredWrongly requests that got something else than their whole own answer
 * @param runTwice non-idempotent requests that ran more than once
 * @param refusedButRun requests that were refused as not run, and ran
 * @param budgetViolations times that a service had fewer working hosts than its budget promises
 * @param cutOffByReboot requests that ran on a host when its planned reboot began
 * @param configurationSecondsToInForce seconds from publishing a change until every entry process had it
 * @param bufferCostHostHours capacity that stood idle, in host-hours
 * @param rollOutSeconds seconds that the maintenance wave took; absent when it was not over in time
 * @param moves hosts that changed pool
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
    /** Tells whether every promise held. */
    public boolean isClean() {
        return lost == 0
                && answeredWrongly == 0
                && runTwice == 0
                && refusedButRun == 0
                && budgetViolations == 0
                && cutOffByReboot == 0;
    }

    /** Returns the report for people. */
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
