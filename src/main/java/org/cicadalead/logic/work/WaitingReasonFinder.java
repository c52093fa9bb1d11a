package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cicadalead.logic.work.account.AccountUsage;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.work.HostCapacity;

/**
 * Finds why lasting tasks do not run, at one point in time. Checks the same conditions as {@link TaskPlacement}, which
 * it does not influence. The tasks of a step without a run wait for the same reason, so each step is compared once with
 * the hosts of its service that accept work. Not thread-safe.
 */
final class WaitingReasonFinder {
    /** Maximum number of hosts that a reason names. */
    private static final int MAX_NAMED_HOSTS = 4;

    private final WorkState state;
    private final TakeoverGate takeoverGate;
    private final long now;
    private final boolean mayStart;
    private final long unconfirmedMilliseconds;
    private final Map<WorkStep, WaitingReason> reasons = new HashMap<>();
    private final Map<String, ServiceHosts> services = new HashMap<>();
    private Optional<Map<String, ClosedService>> closedServices = Optional.empty();

    /**
     * Creates a finder for one point in time.
     *
     * @param now monotonic time in milliseconds
     * @param mayStart whether the last confirmed record is recent enough to start work
     * @param unconfirmedMilliseconds age of the last confirmed record
     */
    WaitingReasonFinder(
            WorkState state, TakeoverGate takeoverGate, long now, boolean mayStart, long unconfirmedMilliseconds) {
        this.state = state;
        this.takeoverGate = takeoverGate;
        this.now = now;
        this.mayStart = mayStart;
        this.unconfirmedMilliseconds = unconfirmedMilliseconds;
    }

    /** Returns why a task that is not known to be at work does not run. */
    WaitingReason find(WorkTask task) {
        WorkRun run = task.run;
        return run == null ? reasons.computeIfAbsent(task.step, this::findForStep) : describeRun(run);
    }

    private WaitingReason describeRun(WorkRun run) {
        WorkHost host = run.host;
        return new WaitingReason(
                WaitingReason.Cause.RUN_EXPECTED,
                run.key.attempt() + " " + run.state + " " + host.identifier,
                List.of(
                        EventDetail.of("attempt", run.key.attempt()),
                        EventDetail.of("state", run.state),
                        EventDetail.of("host", host.identifier),
                        EventDetail.of("stateMilliseconds", now - run.changedAt),
                        EventDetail.of("hostSilentMilliseconds", now - host.lastReplyAt),
                        EventDetail.of("leaseExpiresAfterMilliseconds", host.leaseExpiresAt() - now)));
    }

    private WaitingReason findForStep(WorkStep step) {
        if (!mayStart) {
            return new WaitingReason(
                    WaitingReason.Cause.LEADER_UNCONFIRMED,
                    "",
                    List.of(EventDetail.of("unconfirmedMilliseconds", unconfirmedMilliseconds)));
        }
        if (!state.isAnnounced()) {
            return new WaitingReason(
                    WaitingReason.Cause.FIRST_ANNOUNCEMENT_PENDING,
                    "",
                    List.of(EventDetail.of("unconfirmedMilliseconds", unconfirmedMilliseconds)));
        }
        if (!takeoverGate.canStart(step.job, state.confirmedAt())) {
            return describeClosedService(step.job);
        }
        if (step.specification.gang() && step.waitingTasks < step.taskCount()) {
            return new WaitingReason(
                    WaitingReason.Cause.GANG_INCOMPLETE,
                    "",
                    List.of(
                            EventDetail.of("tasksWithoutRun", step.waitingTasks),
                            EventDetail.of("gang", step.taskCount())));
        }
        if (!state.fitsAccountLimit(step, WorkState.smallestStart(step))) {
            return describeAccount(step);
        }
        return describeHosts(step);
    }

    private WaitingReason describeAccount(WorkStep step) {
        AccountUsage usage = step.job.usage;
        return new WaitingReason(
                WaitingReason.Cause.ACCOUNT_LIMIT,
                usage.account(),
                List.of(
                        EventDetail.of("account", usage.account()),
                        EventDetail.of("needed", format(step.declaredCapacity)),
                        EventDetail.of("running", format(usage.running())),
                        EventDetail.of("unresolved", format(state.accounts.boundOf(usage))),
                        EventDetail.of("limit", format(state.accounts.limitOf(usage)))));
    }

    private WaitingReason describeClosedService(WorkJob job) {
        if (closedServices.isEmpty()) {
            closedServices = Optional.of(takeoverGate.findClosedServices(now));
        }
        Optional<ClosedService> lastToOpen = job.services().stream()
                .map(closedServices.get()::get)
                .filter(Objects::nonNull)
                .max(Comparator.comparingLong(ClosedService::opensAt));
        if (lastToOpen.isEmpty()) {
            return new WaitingReason(WaitingReason.Cause.SERVICE_CLOSED, "", List.of());
        }
        ClosedService closed = lastToOpen.get();
        return new WaitingReason(
                WaitingReason.Cause.SERVICE_CLOSED,
                String.valueOf(closed.opensAt()),
                List.of(
                        EventDetail.of("hosts", closed.hosts().size()),
                        EventDetail.of(
                                "someHosts",
                                closed.hosts().stream()
                                        .sorted()
                                        .limit(MAX_NAMED_HOSTS)
                                        .toList()),
                        EventDetail.of("opensAfterMilliseconds", closed.opensAt() - now)));
    }

    private WaitingReason describeHosts(WorkStep step) {
        ServiceHosts service = services.computeIfAbsent(step.job.submission.service(), this::groupHosts);
        Map<HostExclusion, List<WorkHost>> candidates = groupForStep(step, service.usable());
        List<WorkHost> withRoom = candidates.getOrDefault(HostExclusion.NONE, List.of());
        List<WorkHost> withoutRoom = candidates.getOrDefault(HostExclusion.NO_ROOM, List.of());
        List<EventDetail> inputs = new ArrayList<>(List.of(
                EventDetail.of("needed", format(step.requiredCapacity)),
                EventDetail.of("hosts", service.total()),
                EventDetail.of("usable", withRoom.size() + withoutRoom.size()),
                EventDetail.of("withRoom", withRoom.size())));
        findLargestFree(withRoom.isEmpty() ? withoutRoom : withRoom)
                .ifPresent(host ->
                        inputs.add(EventDetail.of("mostFree", format(host.freeCapacity()) + " on " + host.identifier)));
        int places = step.specification.gang() ? countPlaces(step, withRoom) : withRoom.size();
        boolean hasRoom = places >= (step.specification.gang() ? step.taskCount() : 1);
        if (step.specification.gang()) {
            inputs.add(EventDetail.of("gang", step.taskCount()));
            inputs.add(EventDetail.of("places", places));
        }
        WaitingReason.Cause cause = findCause(step, hasRoom, !withRoom.isEmpty() || !withoutRoom.isEmpty());
        if (cause == WaitingReason.Cause.START_INTENT_PENDING) {
            inputs.add(EventDetail.of("unconfirmedMilliseconds", unconfirmedMilliseconds));
        }
        List<String> unusable = new ArrayList<>(service.unusable());
        candidates.forEach((exclusion, hosts) -> {
            if (exclusion != HostExclusion.NONE && exclusion != HostExclusion.NO_ROOM) {
                unusable.add(describeExclusion(exclusion, hosts));
            }
        });
        inputs.add(EventDetail.of("unusable", unusable.isEmpty() ? "none" : String.join(", ", unusable)));
        return new WaitingReason(cause, service.exclusions() + " " + candidates.keySet(), inputs);
    }

    /** Counts the tasks of a gang that the free capacity of some hosts holds, up to the size of the gang. */
    private static int countPlaces(WorkStep step, List<WorkHost> hosts) {
        int maximumPerHost = step.specification.maximumPerHost();
        int places = 0;
        for (WorkHost host : hosts) {
            HostCapacity free = host.freeCapacity();
            for (int onHost = 0;
                    places < step.taskCount()
                            && (maximumPerHost == 0 || onHost < maximumPerHost)
                            && step.requiredCapacity.fitsInto(free);
                    onHost++) {
                free = free.minus(step.requiredCapacity);
                places++;
            }
        }
        return places;
    }

    private WaitingReason.Cause findCause(WorkStep step, boolean hasRoom, boolean hasUsableHost) {
        if (!hasRoom) {
            return hasUsableHost ? WaitingReason.Cause.NO_ROOM : WaitingReason.Cause.NO_USABLE_HOST;
        }
        return step.job.announcedIn > state.storedGeneration && step.job.announcedIn != WorkJob.NOT_ANNOUNCED
                ? WaitingReason.Cause.START_INTENT_PENDING
                : WaitingReason.Cause.PLACEABLE;
    }

    private ServiceHosts groupHosts(String service) {
        Map<HostExclusion, List<WorkHost>> hosts = new EnumMap<>(HostExclusion.class);
        List<WorkHost> all = state.findHosts(service);
        for (WorkHost host : all) {
            hosts.computeIfAbsent(HostExclusion.findForAnyStep(host, now), key -> new ArrayList<>())
                    .add(host);
        }
        List<WorkHost> usable = hosts.containsKey(HostExclusion.NONE) ? hosts.remove(HostExclusion.NONE) : List.of();
        List<String> unusable = new ArrayList<>();
        hosts.forEach((exclusion, excluded) -> unusable.add(describeExclusion(exclusion, excluded)));
        return new ServiceHosts(all.size(), usable, hosts.keySet().toString(), unusable);
    }

    private Map<HostExclusion, List<WorkHost>> groupForStep(WorkStep step, List<WorkHost> usable) {
        Map<HostExclusion, List<WorkHost>> hosts = new EnumMap<>(HostExclusion.class);
        for (WorkHost host : usable) {
            hosts.computeIfAbsent(HostExclusion.findForStep(step, host, now), key -> new ArrayList<>())
                    .add(host);
        }
        return hosts;
    }

    private static Optional<WorkHost> findLargestFree(List<WorkHost> hosts) {
        return hosts.stream()
                .max(Comparator.comparingLong(
                                (WorkHost host) -> host.freeCapacity().milliCores())
                        .thenComparing(host -> host.identifier, Comparator.reverseOrder()));
    }

    /** Names the cause, the number of its hosts, and the host for which it has lasted or will last shortest. */
    private String describeExclusion(HostExclusion exclusion, List<WorkHost> hosts) {
        WorkHost example = hosts.stream()
                .min(Comparator.comparingLong((WorkHost host) -> exclusion.duration(host, now))
                        .thenComparing(host -> host.identifier))
                .orElseThrow();
        long duration = exclusion.duration(example, now);
        return exclusion + "=" + hosts.size() + " (" + example.identifier
                + (duration == 0
                        ? ""
                        : (exclusion == HostExclusion.AFTER_FAILURES ? " for " : " since ") + duration + " ms")
                + ")";
    }

    private static String format(HostCapacity capacity) {
        return capacity.milliCores() + " millicores, " + capacity.memoryMegabytes() + " MB, " + capacity.accelerators()
                + " accelerators";
    }

    /**
     * The hosts of a service.
     *
     * @param total number of hosts
     * @param usable hosts that accept work
     * @param exclusions the causes for which the others do not
     * @param unusable a description of each of these causes
     */
    private record ServiceHosts(int total, List<WorkHost> usable, String exclusions, List<String> unusable) {}
}
