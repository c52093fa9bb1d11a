package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.logic.work.account.AccountLimits;
import org.cicadalead.logic.work.account.AccountStatus;
import org.cicadalead.logic.work.account.EarlierUsage;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.HostListing;
import org.cicadalead.model.work.JobAccess;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.StartOutcome;
import org.cicadalead.model.work.WorkPhase;
import org.cicadalead.model.work.WorkProgress;
import org.cicadalead.model.work.WorkSubmission;

/**
 * Decides which task runs on which host during one term of the leader. The caller reports events, and {@link #decide}
 * returns the orders to carry out. A task has at most one run at a time. The end of a run is acknowledged to its host,
 * and the end of a job is shown to callers, only after it is in the store. Not thread-safe.
 */
public final class WorkScheduler {
    /** Time after which an order to stop is sent again; longer than the timeout of an order. */
    private static final long STOP_RETRY_MILLISECONDS = 450;

    /** Time for which an ended job is kept; the platform requires two minutes. */
    private static final long RETENTION_MILLISECONDS = 300_000;

    private final WorkState state;
    private final CrashLedger crashes;
    private final RunLedger ledger;
    private final TaskPlacement placement;
    private final ProgressBatches batches;
    private final TakeoverGate takeoverGate;
    private final HostPolls polls;
    private final Set<String> lastRemovedJobs = new HashSet<>();
    /**
     * Generation of the newest announcement that says that a host is unreachable, by identifier, until a later one is
     * stored. Outlives the host, which may leave the registry and register again.
     */
    private final Map<String, Long> announcedUnreachable = new HashMap<>();

    /** Jobs added since the last decision; those that an earlier term has ended are no arriving work. */
    private final List<WorkJob> arrivedJobs = new ArrayList<>();

    private final Map<String, Set<JobAccess>> cancelledBeforeSubmission = new HashMap<>();
    private boolean superseded;
    private long generation;
    private boolean hostsLoaded;

    /**
     * Creates the scheduler of a new term.
     *
     * @param terms limits of the platform
     * @param epoch number of the term
     * @param earlier hosts on which runs of an earlier term may still be active
     * @param now start of the term on the monotonic clock
     */
    public WorkScheduler(SchedulingTerms terms, long epoch, EarlierHosts earlier, long now) {
        EarlierUsage earlierUsage =
                new EarlierUsage(earlier.accountAllowances(), earlier.services().isEmpty());
        this.state =
                new WorkState(terms, epoch, new AccountLimits(earlierUsage, terms.entitlementWindowMilliseconds()));
        state.decidedAt = now;
        this.crashes = new CrashLedger(state);
        this.ledger = new RunLedger(state, crashes);
        this.takeoverGate = new TakeoverGate(earlier, now, now + terms.earlierStartWindowMilliseconds());
        this.polls = new HostPolls(state, takeoverGate);
        this.placement = new TaskPlacement(state, ledger, takeoverGate, crashes);
        this.batches = new ProgressBatches(state);
    }

    /** Applies the accounts of the newest configuration; empty where it names none. Until then their jobs wait. */
    public void updateAccounts(ClientAccounts newest) {
        state.accounts.update(newest);
    }

    /** Sets whether the known configuration may be outdated; no task of an account starts while it may. */
    public void setAccountsOutdated(boolean outdated) {
        state.accounts.setOutdated(outdated);
    }

    /** Returns what each account has and waits for since the last decision. */
    public List<AccountStatus> describeAccounts() {
        return state.accounts.hasAccounts() ? state.accounts.describe(state.findAccountDemands()) : List.of();
    }

    /**
     * Adds a job that was read from the store. A job that is already known stays as it is: a repeated request may have
     * stored it again by another configuration, and the job runs by its first record. A job that takes more memory than
     * a process has for it is set aside as failed: it can never be done, and is not kept in memory.
     *
     * @return whether the job is not set aside
     */
    public boolean addJob(WorkSubmission submission, WorkTime now) {
        WorkJob known = state.jobs.get(submission.job());
        if (known != null) {
            addFurtherRecord(known, submission);
            return true;
        }
        if (lastRemovedJobs.contains(submission.job())) {
            return true;
        }
        if (!JobAdmission.canKeep(submission)) {
            WorkJob rejected = keepWithoutSteps(submission, now);
            rejected.phase = WorkPhase.FAILED;
            state.liveJobs.add(rejected);
            state.markChanged(rejected);
            return false;
        }
        WorkJob job = new WorkJob(submission, now.monotonic(), state.durationsOf(submission.queue()));
        if (takeoverGate.mayHaveStarted(submission.job())) {
            job.announcedIn = 0;
        }
        job.openDueOccurrences(now.wall());
        state.addJob(job);
        arrivedJobs.add(job);
        Optional.ofNullable(cancelledBeforeSubmission.remove(submission.job()))
                .ifPresent(accesses -> accesses.forEach(access -> cancelJob(submission.job(), access, now)));
        return true;
    }

    private void addFurtherRecord(WorkJob job, WorkSubmission further) {
        boolean isOther = job.addRecord(further);
        state.addUsedService(further.service());
        if (isOther && !job.isSetAside() && !job.phase.isTerminal()) {
            // So that a successor, which reads both records, runs the job by the same one.
            state.unsavedJobs.add(job);
        }
    }

    /**
     * Sets a job aside of which a record cannot be applied: it stays in the store, is known and waits, and this term
     * does not run it. A job that is known by another record runs by that one.
     *
     * @return whether the job is set aside
     */
    public boolean setAside(WorkSubmission submission, WorkTime now) {
        WorkJob known = state.jobs.get(submission.job());
        if (known != null) {
            known.hasUnreadableRecord = true;
            return false;
        }
        keepWithoutSteps(submission, now);
        return true;
    }

    /** Sets a job aside as {@link #setAside(WorkSubmission, WorkTime)}; an unknown one stays unknown. */
    public void setAside(String identifier, WorkTime now) {
        Optional.ofNullable(state.jobs.get(identifier)).ifPresent(job -> {
            // Its runs, if there are any, are stopped as those of an ended job.
            job.phase = WorkPhase.CANCELED;
            state.removeJob(job);
            arrivedJobs.remove(job);
            keepWithoutSteps(job.submission, now);
        });
    }

    private WorkJob keepWithoutSteps(WorkSubmission submission, WorkTime now) {
        WorkJob job = new WorkJob(submission.withoutSteps(), now.monotonic());
        state.jobs.put(job.identifier(), job);
        return job;
    }

    /** Restores the progress of a job that an earlier term stored. */
    public void restoreProgress(WorkProgress progress, WorkTime now) {
        WorkJob job = state.jobs.get(progress.job());
        if (job != null && (!job.isSetAside() || progress.phase().isTerminal())) {
            job.restore(progress);
            if (job.phase.isTerminal() || progress.acceptedMilliseconds() == job.submission.acceptedMilliseconds()) {
                state.unsavedJobs.remove(job);
            }
            job.endedAt = job.phase.isTerminal() ? now.monotonic() : 0;
            job.allSteps().forEach(step -> step.keptTasks().forEach(crashes::restore));
        }
    }

    /** Cancels a job for a sender that may cancel every job. */
    public void cancelJob(String identifier, WorkTime now) {
        cancelJob(identifier, JobAccess.UNRESTRICTED, now);
    }

    /**
     * Cancels a job, as read from the store, unless the access doesn't cover it. The cancellation may be read before
     * its job, as it is in another topic.
     */
    public void cancelJob(String identifier, JobAccess access, WorkTime now) {
        WorkJob job = state.jobs.get(identifier);
        if (job == null) {
            cancelledBeforeSubmission
                    .computeIfAbsent(identifier, newIdentifier -> new HashSet<>())
                    .add(access);
        } else if (access.covers(job.submission.account()) && !job.phase.isTerminal()) {
            job.phase = WorkPhase.CANCELED;
            job.durablePhase = WorkPhase.CANCELED;
            job.endedAt = now.monotonic();
        }
    }

    /**
     * Adds the services that a configuration names. Entries of the registry that name a service of no configuration and
     * of no job are not used as hosts; before the first configuration is known, all are.
     */
    public void addServices(Set<String> names) {
        state.addConfiguredServices(names);
    }

    /**
     * Updates the hosts from the complete host registry. An entry alone ends no host: which host has an address is
     * known from replies only.
     */
    public void updateHosts(List<HostEntry> entries, WorkTime now) {
        // Hosts of earlier terms count as unreachable until they reply; a host that joins gets the time for a reply.
        long silentSince = hostsLoaded ? now.monotonic() : WorkHost.NEVER;
        hostsLoaded = true;
        Set<String> registeredIdentifiers = new HashSet<>();
        for (HostEntry entry : entries) {
            if (!state.isServiceNamed(entry)) {
                continue;
            }
            WorkHost host = state.findOrCreateHost(entry, silentSince);
            host.announcedUnreachableIn =
                    announcedUnreachable.getOrDefault(host.identifier, WorkHost.NOT_ANNOUNCED_UNREACHABLE);
            host.incarnationUnknown |= !host.registered;
            host.updateEntry(entry);
            registeredIdentifiers.add(entry.identifier());
        }
        for (WorkHost host : List.copyOf(state.hosts.values())) {
            host.registered = registeredIdentifiers.contains(host.identifier);
            if (!host.registered
                    && host.runs.isEmpty()
                    && !host.hasOrphansOfAccounts()
                    && !takeoverGate.isPartlyListed(host.identifier)
                    && now.monotonic() >= host.leaseExpiresAt()) {
                crashes.withdrawPlannedStart(host);
                state.removeHost(host);
            }
        }
        state.updateCoresPerMegabyte();
    }

    /** Drops all runs of a host whose process has ended for certain. */
    public void onHostEnded(String identifier) {
        onHostEnded(identifier, false);
    }

    private void onHostEnded(String identifier, boolean wasOrdered) {
        takeoverGate.resolve(identifier);
        withdrawFirstListing(identifier, state.decidedAt);
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            dropRunsWithoutLease(host, state.decidedAt);
            crashes.onProcessEnded(host, wasOrdered || host.isLeavingByPlan());
            ledger.dropAll(host, LastRun.Evidence.HOST_ENDED, state.decidedAt);
            host.end();
        }
    }

    /**
     * Creates the next poll of a host, extending its lease as far as the age of the last confirmed record permits;
     * empty once the host need not be polled.
     *
     * @param unconfirmedMilliseconds time since the last confirmed record of the leader was sent
     */
    public Optional<HostPollRequest> createPoll(String identifier, WorkTime now, long unconfirmedMilliseconds) {
        return polls.create(identifier, now, unconfirmedMilliseconds);
    }

    /** Records that a poll has a reply, or none within its time limit. */
    public void onPollEnded(String identifier, long sentAt) {
        polls.onEnded(identifier, sentAt);
    }

    /**
     * Returns whether a host is to be polled again before it replies to the poll in flight, which was sent when it had
     * no runs or only such as need less frequent polls, and renews its lease too late for the present ones.
     */
    public boolean isPollDue(String identifier) {
        return polls.isDue(identifier);
    }

    /**
     * Records the host's clock in its reply to an order, from which its next leases count.
     *
     * @param clock reading in milliseconds
     * @param sentAt monotonic time in milliseconds at which the order was sent
     */
    public void onClockRead(String identifier, long clock, long sentAt, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null && !WorkHost.isLate(sentAt, now.monotonic())) {
            host.readClock(clock, sentAt, now.monotonic());
        }
    }

    /** Applies the reply of a host to its newest poll, which was sent at the given monotonic time. */
    public void onHostListing(String identifier, HostListing listing, long sentAt, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            onHostListing(identifier, host.polledAddress(), listing, sentAt, now);
        }
    }

    /**
     * Applies the reply of a host to a poll, unless a later list has overtaken it on another connection.
     *
     * @param address address of the poll
     * @param sentAt monotonic time in milliseconds at which the poll was sent
     */
    public void onHostListing(String identifier, String address, HostListing listing, long sentAt, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || host.isOvertaken(listing)) {
            return;
        }
        takeoverGate.findLeaseExpiry(identifier).ifPresent(expiry -> host.earlierLeaseExpiresAt = expiry);
        boolean isFirst = listing.hasFurtherEnds()
                ? takeoverGate.onPartOfRunsListed(identifier)
                : takeoverGate.resolve(identifier);
        if (isFirst) {
            addFirstListing(identifier, listing);
        } else if (host.hasOtherProcess(listing)) {
            withdrawFirstListing(identifier, now.monotonic());
        }
        confirmAddress(host, address, sentAt);
        if (host.hasOtherProcess(listing)) {
            dropRunsWithoutLease(host, now.monotonic());
        }
        ledger.applyListing(host, listing, sentAt, now.monotonic());
        // A reply that is handled late, as after a suspension, is no proof that its process is there still.
        host.incarnationUnknown = WorkHost.isLate(sentAt, now.monotonic());
    }

    private void confirmAddress(WorkHost host, String address, long sentAt) {
        WorkHost previous = state.confirmAddress(host, address, sentAt);
        if (previous != null) {
            onHostEnded(previous.identifier);
        }
        crashes.onAddressConfirmed(host, address);
    }

    private void addFirstListing(String host, HostListing listing) {
        for (ActiveRun active : listing.active()) {
            WorkTask task = state.findTask(active.run().task());
            if (task != null && !task.step.job.usage.isPublic()) {
                state.accounts.earlier().addListed(host, task.step.job.usage.account(), task.step.declaredCapacity);
            }
        }
    }

    private void withdrawFirstListing(String host, long now) {
        if (takeoverGate.mayEarlierTermStart(now)) {
            state.accounts.earlier().onListedHostEnded(host);
        }
    }

    /** Returns the runs that were lost with their hosts since the last call. */
    public List<LostRun> takeLostRuns() {
        return state.takeLostRuns();
    }

    /** Returns the tasks that were given up since the last call because hosts crashed under them. */
    public List<GivenUpTask> takeGivenUpTasks() {
        return state.takeGivenUpTasks();
    }

    /** Records that a poll got no reply, so that the host may have restarted. */
    public void onPollFailed(String identifier) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            host.incarnationUnknown = true;
            host.onNoReply();
            crashes.onSilence(host);
        }
    }

    /**
     * Handles that another process replies at an address. If the host has replied there, its own process has ended, and
     * its runs are dropped. Otherwise its entry may name the address of another host.
     *
     * @param sentAt monotonic time in milliseconds at which the order was sent that the other process replied to
     */
    public void onHostReplaced(String identifier, String address, long sentAt) {
        WorkHost host = state.hosts.get(identifier);
        if (host == null || (host.repliedThisTerm && sentAt < host.lastReplyAt)) {
            return;
        }
        boolean isReplaced = host.hasConfirmedAddress()
                ? host.isConfirmedAt(address)
                : !takeoverGate.isUnresolved(identifier) || isReplacedByLaterHost(identifier, address);
        if (isReplaced) {
            onHostEnded(identifier);
        } else if (host.address().equals(address)) {
            host.onNoReply();
        }
    }

    /**
     * Returns whether a host that joined later than the last record of the earlier term replies at an address. Until
     * the process there is known to be such a host, the entry that names the address may be another writer's.
     */
    private boolean isReplacedByLaterHost(String identifier, String address) {
        return state.findHostAt(address)
                .filter(current -> !takeoverGate.livedTogether(identifier, current))
                .isPresent();
    }

    /** Records that a host has rejected a request because it knows a later term. */
    public void onFenced() {
        superseded = true;
    }

    /** Applies the reply to an order to start a run. */
    public void onStartReply(String identifier, RunKey run, StartOutcome outcome, WorkTime now) {
        if (outcome == StartOutcome.FENCED) {
            onFenced();
        }
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.onStartReply(host, run, outcome, now.monotonic());
        }
    }

    /** Applies the confirmation of an order to stop a run. */
    public void onStopConfirmed(String identifier, RunKey run, WorkTime now) {
        WorkHost host = state.hosts.get(identifier);
        if (host != null) {
            ledger.onStopConfirmed(host, run, now.monotonic());
        }
    }

    /**
     * Applies the reply of the external policy.
     *
     * @param tickets tickets by host; empty when no reply came
     * @param sentAt monotonic time when the request was sent
     */
    public void onAdvisorReply(
            WorkOrder.AskAdvisor request, Optional<Map<String, String>> tickets, long sentAt, WorkTime now) {
        state.pendingAdvisorRequests--;
        WorkJob job = state.jobs.get(request.job());
        WorkStep step = job == null ? null : job.findStep(request.occurrence(), request.step());
        if (step != null && step.tickets != null) {
            step.tickets.onAdvisorReply(request.hosts(), tickets, sentAt, now.monotonic());
        }
    }

    /** Records whether a batch of progress was stored. */
    public void onBatchResult(long batch, boolean stored) {
        batches.onBatchResult(batch, stored);
    }

    /**
     * Returns the phase of a job to show to callers, which ends a job only once that is stored; empty for an unknown
     * job.
     */
    public Optional<WorkPhase> findPhase(String identifier) {
        WorkJob job = state.jobs.get(identifier);
        if (job == null) {
            return Optional.empty();
        }
        boolean canShowPhase = job.phase == job.durablePhase || !job.phase.isTerminal();
        return Optional.of(canShowPhase ? job.phase : WorkPhase.RUNNING);
    }

    /**
     * Returns the phase of a job as {@link #findPhase(String)}; empty also for a job that the request may not learn of.
     */
    public Optional<WorkPhase> findPhase(String identifier, JobAccess access) {
        WorkJob job = state.jobs.get(identifier);
        return job != null && access.covers(job.submission.account()) ? findPhase(identifier) : Optional.empty();
    }

    /** Counts the jobs of a queue of which no task has started. */
    public int countWaitingJobs(String queue) {
        int count = 0;
        for (WorkJob job : state.jobs.values()) {
            count += job.phase == WorkPhase.QUEUED && queue.equals(job.submission.queue()) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the memory of all jobs in bytes: of those that have not ended as much as they may take, of the others
     * what they have.
     */
    public long weighOpenJobs() {
        long sum = 0;
        for (WorkJob job : state.jobs.values()) {
            sum += job.weigh();
        }
        return sum;
    }

    /**
     * Announces the hosts that may have runs of this term or an earlier one, and the started jobs, for a successor. A
     * host that is announced as unreachable is used again only after a later announcement is
     * {@linkplain #onAnnouncementStored stored}, because a successor assumes that its lease is not renewed. All hosts
     * are announced, also without a lease: an idle one may get work before the next announcement is stored, and a
     * successor waits for none that is unreachable or has ended and is still registered.
     */
    public HostsInUse announceHostsInUse(WorkTime now) {
        generation++;
        Map<String, HostClaim> claims = new HashMap<>();
        takeoverGate.unresolved().forEach((identifier, waiting) -> {
            if (now.monotonic() < waiting.leaseExpiresAt()) {
                announceUnreachable(identifier);
                claims.put(
                        identifier,
                        new HostClaim(
                                waiting.service(),
                                false,
                                waiting.leaseExpiresAt() - now.monotonic(),
                                waiting.machine().or(() -> findMachine(identifier)),
                                waiting.otherServices()));
            }
        });
        for (WorkHost host : state.hosts.values()) {
            long remaining = host.claimedUntil() - now.monotonic();
            boolean answering = !host.isUnreachable(now.monotonic());
            if (!host.runs.isEmpty() || remaining > 0 || host.registered || !answering) {
                if (!answering) {
                    announceUnreachable(host.identifier);
                }
                claims.putIfAbsent(
                        host.identifier,
                        new HostClaim(
                                host.entry.service(),
                                answering,
                                Math.max(0, remaining),
                                host.machine,
                                host.findFormerServices()));
            }
        }
        return new HostsInUse(
                generation,
                claims,
                Optional.of(announceStartedJobs()),
                Optional.of(state.terms.earlierLeaseExpiryMilliseconds()),
                state.accounts.announce(generation, state.findAccountDemands()));
    }

    private Optional<String> findMachine(String identifier) {
        return Optional.ofNullable(state.hosts.get(identifier)).flatMap(host -> host.machine);
    }

    private void announceUnreachable(String identifier) {
        announcedUnreachable.put(identifier, generation);
        Optional.ofNullable(state.hosts.get(identifier)).ifPresent(host -> host.announcedUnreachableIn = generation);
    }

    private Set<String> announceStartedJobs() {
        Set<String> started = new HashSet<>();
        for (WorkJob job : state.jobs.values()) {
            boolean ended = job.phase.isTerminal() && job.phase == job.durablePhase;
            if (job.announcedIn != WorkJob.NOT_ANNOUNCED && !ended) {
                job.announcedIn = Math.min(job.announcedIn, generation);
                started.add(job.identifier());
            }
        }
        return started;
    }

    /**
     * Returns whether starts wait for an announcement to be stored: the first one of the term, or a start intent, that
     * is one that names a job as started or raises the allowance of an account.
     */
    public boolean hasPendingStartIntents() {
        if (!state.isAnnounced() || state.accounts.hasPendingStart()) {
            return true;
        }
        for (WorkJob job : state.liveJobs) {
            if (job.announcedIn == WorkJob.ANNOUNCEMENT_PENDING) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether hosts that reply again may be used only after a later announcement is stored. */
    public boolean hasHostsWaitingForAnnouncement(WorkTime now) {
        return state.hosts.values().stream().anyMatch(host -> host.isWaitingForAnnouncement(now.monotonic()));
    }

    /** Records that an announcement of the hosts in use is in the store. */
    public void onAnnouncementStored(long storedGeneration) {
        state.storedGeneration = Math.max(state.storedGeneration, storedGeneration);
        state.accounts.onAnnouncementStored(storedGeneration);
        announcedUnreachable.values().removeIf(announcedIn -> storedGeneration > announcedIn);
        for (WorkHost host : state.hosts.values()) {
            if (storedGeneration > host.announcedUnreachableIn) {
                host.announcedUnreachableIn = WorkHost.NOT_ANNOUNCED_UNREACHABLE;
            }
        }
    }

    /** Returns the identifiers of all hosts to poll. */
    public Set<String> findHostsToPoll() {
        return polls.findHosts();
    }

    /** Returns the hosts that may still have runs of an earlier term and so block starts in their services. */
    public Set<String> findBlockingHosts(WorkTime now) {
        return takeoverGate.findBlockingHosts(now.monotonic());
    }

    /** Returns the services that are closed because of hosts that may still have runs of an earlier term. */
    public Map<String, ClosedService> findClosedServices(WorkTime now) {
        return takeoverGate.findClosedServices(now.monotonic());
    }

    /** Returns how many times a host was compared with the requirements of a task so far. */
    long evaluatedHosts() {
        return placement.evaluatedHosts();
    }

    /** Creates a view of the demand and capacity of every pool. */
    public PoolView createPoolView(FleetPlan plan, WorkTime now) {
        countArrivals(now);
        return new PoolView(state, plan, now);
    }

    /** Creates the view of hosts through which machine decisions query and control their work. */
    public MachineView createMachineView() {
        return new MachineView(state, takeoverGate, this::onHostEnded);
    }

    /** Creates the view through which lasting tasks that do not run are reported. */
    public WaitingTasks createWaitingTasks() {
        return new WaitingTasks(state, takeoverGate);
    }

    /**
     * Decides which orders are due now.
     *
     * @param unconfirmedMilliseconds time since the last confirmed record of the leader was sent
     */
    public List<WorkOrder> decide(WorkTime now, long unconfirmedMilliseconds) {
        List<WorkOrder> orders = new ArrayList<>();
        state.decidedAt = now.monotonic();
        if (superseded) {
            orders.add(new WorkOrder.StepDown());
            return orders;
        }
        state.updateConfirmation(now.monotonic(), unconfirmedMilliseconds);
        countArrivals(now);
        if (takeoverGate.isResolved(state.confirmedAt())) {
            state.accounts.earlier().onResolved();
        }
        expireLeases(now.monotonic());
        state.retireEndedJobs(now.monotonic());
        openDueOccurrences(now);
        stopUnwantedRuns(orders, now.monotonic());
        boolean mayStart = unconfirmedMilliseconds < state.terms.startLimitMilliseconds();
        if (mayStart && state.isAnnounced()) {
            placement.place(orders, now);
            for (WorkHost host : state.hosts.values()) {
                orders.addAll(SpareCapacityPacing.pace(host, now.monotonic()));
            }
        }
        batches.createNextBatch(now.monotonic()).ifPresent(orders::add);
        removeOldJobs(orders, now.monotonic());
        return orders;
    }

    private void countArrivals(WorkTime now) {
        for (WorkJob job : arrivedJobs) {
            if (!job.longRunning && !job.phase.isTerminal() && WorkOrdering.canMeetObjective(job, now)) {
                state.arrivals.add(job.submission.service(), state.remainingDominantWork(job), now.monotonic());
            }
        }
        arrivedJobs.clear();
    }

    private void expireLeases(long now) {
        for (WorkHost host : state.hosts.values()) {
            if (host.isUnreachable(now)) {
                takeoverGate.onUnreachable(host.identifier, host.leaseExpiresAt(), state.confirmedAt());
            }
            if (!host.mayReplyInTime(state.terms, now)) {
                dropRunsWithoutLease(host, now);
            }
            if (host.isUnreachable(now) && state.confirmedAt() >= host.orphansExpireAt()) {
                host.releaseOrphansOfAccounts();
            }
        }
    }

    /** Drops the runs of a silent host if they have ended for certain with its lease, whatever became of it later. */
    private void dropRunsWithoutLease(WorkHost host, long now) {
        if (host.isUnreachable(now) && !host.runs.isEmpty() && state.confirmedAt() >= host.leaseExpiresAt()) {
            crashes.onSilence(host);
            ledger.dropAll(host, LastRun.Evidence.LEASE_EXPIRED, now);
        }
    }

    private void openDueOccurrences(WorkTime now) {
        for (WorkJob job : state.liveJobs) {
            if (job.submission.isScheduled()) {
                job.openDueOccurrences(now.wall());
            }
        }
    }

    private void stopUnwantedRuns(List<WorkOrder> orders, long now) {
        for (WorkHost host : state.hosts.values()) {
            for (WorkRun run : host.runs.values()) {
                Optional<StopCause> cause = findStopCause(run, now);
                if (cause.isPresent() && run.state == WorkRun.State.RUNNING) {
                    run.stop(cause.get(), now);
                }
                if (run.state == WorkRun.State.STOPPING && now - run.stopSentAt >= STOP_RETRY_MILLISECONDS) {
                    run.stopSentAt = now;
                    orders.add(new WorkOrder.Stop(WorkState.targetOf(host), run.key, run.stopCause));
                }
            }
            for (RunKey orphan : host.orphanedRuns) {
                orders.add(new WorkOrder.Stop(WorkState.targetOf(host), orphan, StopCause.UNKNOWN_RUN));
            }
            host.orphanedRuns.clear();
        }
    }

    private static Optional<StopCause> findStopCause(WorkRun run, long now) {
        if (run.task.step.job.phase.isTerminal()) {
            return Optional.of(StopCause.JOB_ENDED);
        }
        if (run.task.done) {
            return Optional.of(StopCause.TASK_DONE);
        }
        if (run.host.entry.draining() && run.task.step.specification.longRunning()) {
            return Optional.of(StopCause.HOST_DRAINS);
        }
        if (now > run.overdueAfter && run.state == WorkRun.State.RUNNING) {
            run.task.slowRestarts++;
            run.task.avoidedHosts.add(run.host.identifier);
            run.host.countFailure(now);
            return Optional.of(StopCause.OVERDUE);
        }
        return Optional.empty();
    }

    private void removeOldJobs(List<WorkOrder> orders, long now) {
        List<WorkJob> expiredJobs = new ArrayList<>();
        for (WorkJob job : state.endedJobs) {
            if (now - job.endedAt <= RETENTION_MILLISECONDS) {
                break;
            }
            if (job.phase == job.durablePhase) {
                expiredJobs.add(job);
            }
        }
        if (!expiredJobs.isEmpty()) {
            expiredJobs.forEach(state::removeJob);
            List<String> identifiers =
                    expiredJobs.stream().map(WorkJob::identifier).toList();
            lastRemovedJobs.clear();
            lastRemovedJobs.addAll(identifiers);
            orders.add(new WorkOrder.RemoveJobs(identifiers));
        }
    }
}
