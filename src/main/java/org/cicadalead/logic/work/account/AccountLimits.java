package org.cicadalead.logic.work.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cicadalead.model.work.ClientAccount;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.HostCapacity;

/**
 * Decides whether the start of tasks fits the limit of their account. Load patterns: an account with a multiple of its
 * usual load, and a limit that falls far below what runs. A start fits when the runs whose end is not certain, the
 * bound for hosts that have not replied, and the new tasks are at most the limit. An account that uses less than half
 * of its limit may start one task that exceeds the rest, which could never run else. Not thread-safe.
 */
public final class AccountLimits {
    private final EarlierUsage earlier;
    private final AccountAllowances allowances = new AccountAllowances();
    private final Map<String, AccountUsage> usages = new TreeMap<>();
    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final AccountUsage publicUsage = AccountUsage.createPublic();
    private final Entitlement entitlement;
    private double meanWeight = 1;
    private boolean hasConfiguration;
    private boolean isOutdated;
    private boolean hasPendingStart;

    /**
     * Creates the limits of a new term, which knows no configuration yet.
     *
     * @param entitlementWindowMilliseconds time over which the jobs that an account is entitled to are counted
     */
    public AccountLimits(EarlierUsage earlier, long entitlementWindowMilliseconds) {
        this.earlier = earlier;
        this.entitlement = new Entitlement(entitlementWindowMilliseconds);
        earlier.accounts().forEach(this::addUsage);
    }

    /** Returns the usage to which the runs of an account are counted; all jobs of public queues share one. */
    public AccountUsage usageOf(Optional<String> account) {
        return account.map(this::addUsage).orElse(publicUsage);
    }

    private AccountUsage addUsage(String account) {
        return usages.computeIfAbsent(account, AccountUsage::new);
    }

    /** Returns whether any account has had jobs in this term, or had some in the term before. */
    public boolean hasAccounts() {
        return !usages.isEmpty();
    }

    /** Returns what each account has and waits for at this moment, by name. */
    public List<AccountStatus> describe(Map<String, AccountDemand> demands) {
        List<AccountStatus> statuses = new ArrayList<>();
        for (AccountUsage usage : usages.values()) {
            statuses.add(new AccountStatus(
                    usage.account(),
                    usage.running(),
                    limitOf(usage),
                    boundOf(usage),
                    demands.getOrDefault(usage.account(), AccountDemand.NONE).total(),
                    weightOf(usage.account()),
                    usage.waitsForLimit()));
        }
        return statuses;
    }

    /** Returns what may still run on hosts that have not replied in this term. */
    public EarlierUsage earlier() {
        return earlier;
    }

    /** Applies the newest configuration at once; an account that it does not name keeps its last limit and weight. */
    public void update(ClientAccounts newest) {
        hasConfiguration = true;
        accounts.putAll(newest.byName());
        meanWeight = accounts.values().stream()
                .mapToDouble(ClientAccount::weight)
                .filter(weight -> weight > 0)
                .average()
                .orElse(1);
    }

    /**
     * Sets whether the newest known configuration may be outdated beyond the time within which a version has to be in
     * force; while it may, no task of an account starts, as the limit may have fallen.
     */
    public void setOutdated(boolean outdated) {
        isOutdated = outdated;
    }

    /**
     * Returns the share of an account; jobs of public queues, and an account that this term has not seen in a
     * configuration, have the mean of the others.
     */
    public double weightOf(String account) {
        ClientAccount configured = accounts.get(account);
        return configured == null || configured.weight() <= 0 ? meanWeight : configured.weight();
    }

    /** Returns whether an account is entitled to a new job, and counts it; always without a configured account. */
    public boolean isEntitledTo(Optional<String> account, long acceptedMilliseconds) {
        return account.map(accounts::get)
                .map(configured ->
                        entitlement.add(configured.name(), weightOf(configured.name()), acceptedMilliseconds))
                .orElse(true);
    }

    /** Finds an account as it was last configured in this term. */
    public Optional<ClientAccount> find(String account) {
        return Optional.ofNullable(accounts.get(account));
    }

    /** Returns the limit of an account; none for one that this term has not seen in a configuration. */
    public HostCapacity limitOf(AccountUsage usage) {
        ClientAccount account = accounts.get(usage.account());
        return account == null ? HostCapacity.NONE : account.limit();
    }

    /** Begins a cycle, in which no task has been given a host yet. */
    public void beginCycle() {
        usages.values().forEach(AccountUsage::beginCycle);
        publicUsage.beginCycle();
    }

    /** Returns whether tasks may be started together; never before a configuration is known, nor by an outdated one. */
    public boolean fits(AccountUsage usage, HostCapacity task, int tasks) {
        if (usage.isPublic()) {
            return true;
        }
        if (!hasConfiguration || isOutdated) {
            return false;
        }
        HostCapacity limit = limitOf(usage);
        HostCapacity taken = usage.runningAndReserved().plus(boundOf(usage));
        boolean fits = fitsBelow(limit, limit, taken, task.times(tasks))
                || (isBelowHalf(limit, taken) && fitsBelow(limit, limit, taken, task.times(tasks - 1L)));
        if (!fits) {
            usage.onRejected();
        }
        return fits;
    }

    /**
     * Returns whether the announcements tell a successor that the tasks may run, so that they may be started. Otherwise
     * the next announcement is needed for it.
     */
    public boolean ensureAnnounced(AccountUsage usage, HostCapacity task, int tasks) {
        HostCapacity limit = limitOf(usage);
        HostCapacity taken = usage.running().plus(boundOf(usage));
        HostCapacity needed = task.times(tasks);
        boolean isAnnounced = fitsBelow(limit, allowances.effective(usage.account()), taken, needed);
        hasPendingStart |= !isAnnounced && !fitsBelow(limit, allowances.newest(usage.account()), taken, needed);
        return isAnnounced;
    }

    /** Returns whether a start waits for an announcement that has not been made. */
    public boolean hasPendingStart() {
        return hasPendingStart;
    }

    /**
     * Creates the allowances of an announcement, by account.
     *
     * @param generation number of the announcement
     * @param demands what the tasks without a run would take, by account
     * @return empty while they are unknown, as neither a configuration nor the allowances of the earlier term are known
     */
    public Optional<Map<String, HostCapacity>> announce(long generation, Map<String, AccountDemand> demands) {
        hasPendingStart = false;
        if (!hasConfiguration && earlier.isUnknown()) {
            allowances.announce(generation, Map.of());
            return Optional.empty();
        }
        Map<String, HostCapacity> announced = new HashMap<>();
        for (AccountUsage usage : usages.values()) {
            HostCapacity allowance = allowanceOf(usage, demands.getOrDefault(usage.account(), AccountDemand.NONE));
            if (!allowance.equals(HostCapacity.NONE)) {
                announced.put(usage.account(), allowance);
            }
        }
        allowances.announce(generation, announced);
        return Optional.of(announced);
    }

    private HostCapacity allowanceOf(AccountUsage usage, AccountDemand demand) {
        HostCapacity limit = limitOf(usage);
        HostCapacity taken = usage.running().plus(boundOf(usage));
        HostCapacity highest = isBelowHalf(limit, taken) ? limit.plus(demand.largestTask()) : limit;
        HostCapacity wanted = taken.plus(demand.total());
        HostCapacity permitted = new HostCapacity(
                limit.milliCores() == 0 ? wanted.milliCores() : highest.milliCores(),
                limit.memoryMegabytes() == 0 ? wanted.memoryMegabytes() : highest.memoryMegabytes(),
                limit.accelerators() == 0 ? wanted.accelerators() : highest.accelerators());
        return wanted.lowest(permitted).highest(taken);
    }

    /** Records that an announcement is in the store. */
    public void onAnnouncementStored(long generation) {
        allowances.onStored(generation);
    }

    /** Returns what an account may still run on hosts that have not replied in this term. */
    public HostCapacity boundOf(AccountUsage usage) {
        return earlier.bound(usage.account(), limitOf(usage));
    }

    /** Returns whether a need fits below a bound in each dimension that the limit has. */
    private static boolean fitsBelow(HostCapacity limit, HostCapacity bound, HostCapacity taken, HostCapacity needed) {
        return new HostCapacity(
                        limit.milliCores() == 0 ? 0 : needed.milliCores(),
                        limit.memoryMegabytes() == 0 ? 0 : needed.memoryMegabytes(),
                        limit.accelerators() == 0 ? 0 : needed.accelerators())
                .fitsInto(bound.minus(taken));
    }

    private static boolean isBelowHalf(HostCapacity limit, HostCapacity taken) {
        return (limit.milliCores() == 0 || 2 * taken.milliCores() < limit.milliCores())
                && (limit.memoryMegabytes() == 0 || 2 * taken.memoryMegabytes() < limit.memoryMegabytes())
                && (limit.accelerators() == 0 || 2 * taken.accelerators() < limit.accelerators());
    }
}
