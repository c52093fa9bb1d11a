package org.cicadalead.adapters.quickstart;

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
 * @param configurationSecondsToInForce seconds from publishing a change until every entry process had it
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
        double configurationSecondsToInForce) {
    /** Tells whether every promise held. */
    public boolean isClean() {
        return lost == 0 && answeredWrongly == 0 && runTwice == 0 && refusedButRun == 0;
    }

    /** Returns the report for people. */
    public String toText() {
        return String.format(
                "%s: %d sent, %d answered, %d refused as not run, %d outcome unknown, %d lost, %d answered wrongly,"
                        + " %d run twice, %d refused but run; configuration in force after %.3f s",
                deployment,
                requestsSent,
                answered,
                refusedAsNotRun,
                outcomeUnknown,
                lost,
                answeredWrongly,
                runTwice,
                refusedButRun,
                configurationSecondsToInForce);
    }
}
