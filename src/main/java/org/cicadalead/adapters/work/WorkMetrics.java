package org.cicadalead.adapters.work;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cicadalead.logic.work.JobAdmission;
import org.cicadalead.logic.work.StopCause;
import org.cicadalead.logic.work.account.AccountStatus;
import org.cicadalead.logic.work.account.RejectionCause;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.ports.RecordStore.Topic;

/**
 * Records counters and latency histograms of a process that runs on the users' platform. The counters include decisions
 * whose log lines were dropped. Safe for use by several threads.
 */
public final class WorkMetrics {
    /** Maximum number of accounts with metrics of their own: a bound on the size of one reading of the metrics. */
    private static final int MAX_ACCOUNTS = 100;

    private static final double CORES_PER_MILLICORE = 0.001;
    private static final double SECONDS_PER_MILLISECOND = 0.001;

    /** Methods with metrics of their own; callers may send any. */
    private static final Set<String> METHODS = Set.of("GET", "POST", "DELETE");

    private final MeterRegistry registry;
    private final Set<String> accounts = new HashSet<>();
    private final MultiGauge accountCores;
    private final MultiGauge accountMegabytes;

    /** Creates metrics that are kept in a registry. */
    public WorkMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.accountCores = MultiGauge.builder("cicadalead.accounts.cores").register(registry);
        this.accountMegabytes =
                MultiGauge.builder("cicadalead.accounts.megabytes").register(registry);
    }

    /** Replaces the values of all client accounts. */
    void recordAccounts(List<AccountStatus> accounts) {
        List<MultiGauge.Row<?>> cores = new ArrayList<>();
        List<MultiGauge.Row<?>> megabytes = new ArrayList<>();
        for (AccountStatus status : accounts) {
            Map<String, HostCapacity> values = Map.of(
                    "running", status.running(),
                    "limit", status.limit(),
                    "unresolved", status.unresolved(),
                    "waiting", status.waiting());
            values.forEach((kind, capacity) -> {
                Tags tags = Tags.of("account", status.account(), "kind", kind);
                cores.add(MultiGauge.Row.of(tags, capacity.milliCores() * CORES_PER_MILLICORE));
                megabytes.add(MultiGauge.Row.of(tags, capacity.memoryMegabytes()));
            });
        }
        accountCores.register(cores, true);
        accountMegabytes.register(megabytes, true);
    }

    /** Publishes the memory that all open jobs may take, as this process knows it, and the limits, in bytes. */
    public void observeOpenJobs(Supplier<Number> openBytes) {
        Gauge.builder("cicadalead.jobs.open.bytes", openBytes).register(registry);
        Gauge.builder("cicadalead.jobs.open.limit.bytes", () -> JobAdmission.BUDGET_BYTES)
                .register(registry);
        Gauge.builder("cicadalead.jobs.single.limit.bytes", () -> JobAdmission.MAX_JOB_BYTES)
                .register(registry);
    }

    /** Counts a decision. */
    void countDecision(EventKind kind) {
        registry.counter("cicadalead.decisions", "kind", kind.name()).increment();
    }

    /** Counts an order to stop a run. */
    void countStop(StopCause cause) {
        registry.counter("cicadalead.runs.stops", "cause", cause.name()).increment();
    }

    /** Records the duration and the response status of a caller's request. */
    public void recordCallerRequest(String method, int status, Duration duration) {
        timer("cicadalead.callers.requests", "method", method, "status", Integer.toString(status))
                .record(duration);
    }

    /** Shows the age of the oldest request of a caller that has no response yet; zero if there is none. */
    void observeOldestOpenRequest(Supplier<Duration> age) {
        observeAge("cicadalead.callers.oldest.open.seconds", Tags.empty(), age);
    }

    /** Shows the time since a topic of the store was last read. */
    void observeLastRead(Topic topic, Supplier<Duration> age) {
        observeAge("cicadalead.store.last.read.seconds", Tags.of("topic", labelOf(topic)), age);
    }

    private void observeAge(String name, Tags tags, Supplier<Duration> age) {
        Gauge.builder(name, () -> age.get().toMillis() * SECONDS_PER_MILLISECOND)
                .tags(tags)
                .register(registry);
    }

    /** Counts a request that was received and whose caller got no response from this process. */
    void countUnanswered(String method) {
        registry.counter("cicadalead.callers.unanswered", "method", METHODS.contains(method) ? method : "other")
                .increment();
    }

    /**
     * Counts a request that was rejected by the rules of accounts. Accounts beyond a bounded number count as one.
     *
     * @param account name of the account; empty where none is known
     */
    public void countRejection(RejectionCause cause, Optional<String> account) {
        String tag = account.map(this::boundedAccount).orElse("none");
        registry.counter("cicadalead.accounts.rejections", "cause", cause.label(), "account", tag)
                .increment();
    }

    private synchronized String boundedAccount(String account) {
        if (accounts.size() < MAX_ACCOUNTS) {
            accounts.add(account);
        }
        return accounts.contains(account) ? account : "other";
    }

    /** Records the duration and the outcome of an append to the store. */
    void recordAppend(Topic topic, String outcome, Duration duration) {
        timer("cicadalead.store.appends", "topic", labelOf(topic), "outcome", outcome)
                .record(duration);
    }

    private static String labelOf(Topic topic) {
        return topic.name().toLowerCase(Locale.ROOT);
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name)
                .tags(tags)
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofSeconds(10))
                .register(registry);
    }
}
