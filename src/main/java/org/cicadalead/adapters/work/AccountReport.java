package org.cicadalead.adapters.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.logic.work.account.AccountStatus;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.HostCapacity;

/**
 * Logs when tasks of an account wait for its limit and when they no longer do, and keeps the metrics of the accounts.
 * An account has at most two lines in two seconds, and at most a hundred accounts have lines. Used on the scheduling
 * thread.
 */
final class AccountReport {
    /** Interval between reports, so that they cost little beside the cycles. */
    private static final long INTERVAL_MILLISECONDS = 500;

    /** Time without a task that waits for the limit after which the account counts as below it again. */
    private static final long BELOW_LIMIT_MILLISECONDS = 2_000;

    /** Maximum number of accounts that metrics and lines name. */
    private static final int MAX_ACCOUNTS = 100;

    private final DecisionLog log;
    private final Map<String, AtLimit> accountsAtLimit = new HashMap<>();
    private long reportedAt = Long.MIN_VALUE / 2;

    AccountReport(DecisionLog log) {
        this.log = log;
    }

    /** Returns whether the next report is due at a monotonic time in milliseconds. */
    boolean isDue(long now) {
        return now - reportedAt >= INTERVAL_MILLISECONDS;
    }

    /** Reports the accounts after a cycle. */
    void report(List<AccountStatus> accounts, long now) {
        reportedAt = now;
        log.metrics().recordAccounts(AccountStatus.limitTo(MAX_ACCOUNTS, accounts));
        for (AccountStatus status : accounts) {
            if (status.waitsForLimit()) {
                AtLimit known = accountsAtLimit.get(status.account());
                if (known != null) {
                    accountsAtLimit.put(status.account(), new AtLimit(known.since(), now));
                } else if (accountsAtLimit.size() < MAX_ACCOUNTS) {
                    accountsAtLimit.put(status.account(), new AtLimit(now, now));
                    logAtLimit(status);
                }
            }
        }
        for (Map.Entry<String, AtLimit> account : new ArrayList<>(accountsAtLimit.entrySet())) {
            if (now - account.getValue().lastSeen() >= BELOW_LIMIT_MILLISECONDS) {
                accountsAtLimit.remove(account.getKey());
                log.emit(
                        EventKind.ACCOUNT_BELOW_LIMIT,
                        EventDetail.of("account", account.getKey()),
                        EventDetail.of(
                                "atLimitMilliseconds",
                                account.getValue().lastSeen()
                                        - account.getValue().since()));
            }
        }
    }

    private void logAtLimit(AccountStatus status) {
        log.emit(
                EventKind.ACCOUNT_AT_LIMIT,
                EventDetail.of("account", status.account()),
                EventDetail.of("running", format(status.running())),
                EventDetail.of("unresolved", format(status.unresolved())),
                EventDetail.of("waiting", format(status.waiting())),
                EventDetail.of("limit", format(status.limit())));
    }

    private static String format(HostCapacity capacity) {
        return capacity.milliCores() + " millicores, " + capacity.memoryMegabytes() + " MB, " + capacity.accelerators()
                + " accelerators";
    }

    /** Removes the metrics, as the term has ended. */
    void close() {
        log.metrics().recordAccounts(List.of());
    }

    private record AtLimit(long since, long lastSeen) {}
}
