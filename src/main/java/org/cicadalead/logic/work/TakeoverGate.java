package org.cicadalead.logic.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cicadalead.model.work.MachineEntry;

/**
 * Prevents a new term from starting tasks that may still run, or have ended, for an earlier term. A service opens once
 * each host that an earlier term may have used for it has listed all its runs in this term, which also fences the
 * earlier terms there, or can have no lease any more. A job may start once all services are open by which an earlier
 * term may have run it, and at once if no earlier term can have started it. Guards against double runs when the leader
 * fails while hosts are unreachable, also several times in succession. Not thread-safe.
 */
final class TakeoverGate {
    private final EarlierHosts earlier;
    private final long earlierStartsEndAt;
    private final Map<String, UnresolvedHost> unresolved = new HashMap<>();

    /**
     * Hosts that reply but have not listed all ended runs yet. They are reachable, so that their leases are renewed.
     */
    private final Map<String, UnresolvedHost> partlyListed = new HashMap<>();

    TakeoverGate(EarlierHosts earlier, long now, long earlierStartsEndAt) {
        this.earlier = earlier;
        this.earlierStartsEndAt = earlierStartsEndAt;
        earlier.services()
                .forEach((host, service) -> unresolved.put(
                        host,
                        new UnresolvedHost(
                                service,
                                earlier.otherServices().getOrDefault(host, Set.of()),
                                now + earlier.leaseExpiresAfter().getOrDefault(host, 0L),
                                Optional.ofNullable(earlier.machines().get(host)))));
    }

    /**
     * Removes a host that has listed all its runs in this term, or is known to run nothing; returns whether it had not
     * replied until now.
     */
    boolean resolve(String host) {
        partlyListed.remove(host);
        return unresolved.remove(host) != null;
    }

    /**
     * Records the reply of a host that may have further ended runs; returns whether it had not replied until now. Its
     * service stays closed until it is {@linkplain #resolve resolved}.
     */
    boolean onPartOfRunsListed(String host) {
        UnresolvedHost replying = unresolved.remove(host);
        if (replying != null) {
            partlyListed.put(host, replying);
        }
        return replying != null;
    }

    /** Returns whether a host that an earlier term may have used has not replied in this term. */
    boolean isUnresolved(String host) {
        return unresolved.containsKey(host);
    }

    /** Returns whether a host that an earlier term may have used has not listed all its runs in this term. */
    boolean isAwaited(String host) {
        return isUnresolved(host) || isPartlyListed(host);
    }

    /**
     * Returns the monotonic time in milliseconds at which the leases of earlier terms on a host have expired; empty
     * once it has listed its runs, and for a host that no earlier term may have used.
     */
    OptionalLong findLeaseExpiry(String host) {
        UnresolvedHost waiting = unresolved.getOrDefault(host, partlyListed.get(host));
        return waiting == null ? OptionalLong.empty() : OptionalLong.of(waiting.leaseExpiresAt());
    }

    /** Returns whether two hosts lived together when the earlier term ended, so that their addresses differ. */
    boolean livedTogether(String first, String second) {
        return earlier.claimedHosts().containsAll(Set.of(first, second));
    }

    /** Returns whether a host replies but has not listed all ended runs yet. */
    boolean isPartlyListed(String host) {
        return partlyListed.containsKey(host);
    }

    /**
     * Removes a host that has become unreachable before it listed all ended runs, once no lease of this term or an
     * earlier one is left.
     *
     * @param leaseExpiresAt monotonic time in milliseconds at which the leases of this term have expired
     * @param confirmedAt monotonic time in milliseconds at which the last confirmed record of this term was sent
     */
    void onUnreachable(String host, long leaseExpiresAt, long confirmedAt) {
        UnresolvedHost listed = partlyListed.get(host);
        if (listed != null && confirmedAt >= Math.max(listed.leaseExpiresAt(), leaseExpiresAt)) {
            partlyListed.remove(host);
        }
    }

    /** Returns whether an earlier term may still give orders. */
    boolean mayEarlierTermStart(long now) {
        return now <= earlierStartsEndAt;
    }

    /**
     * Returns whether each host that an earlier term may have used has replied or can have no lease any more.
     *
     * @param confirmedAt monotonic time in milliseconds at which the last confirmed record of this term was sent
     */
    boolean isResolved(long confirmedAt) {
        return unresolved.values().stream().allMatch(host -> confirmedAt >= host.leaseExpiresAt());
    }

    /**
     * Removes the hosts that ended with their machine: it is moving or in maintenance, or carries another host. A
     * machine that is not listed, or is listed as down or without a host, proves nothing, as its host may only be cut
     * off.
     *
     * @param machines the complete machine list, requested after the term began to schedule
     */
    void resolveEndedHosts(List<MachineEntry> machines) {
        if (unresolved.isEmpty() && partlyListed.isEmpty()) {
            return;
        }
        Map<String, MachineEntry> machineByName = new HashMap<>();
        machines.forEach(machine -> machineByName.put(machine.machine(), machine));
        unresolved.entrySet().removeIf(host -> showsEnd(machineByName, host));
        partlyListed.entrySet().removeIf(host -> showsEnd(machineByName, host));
    }

    private static boolean showsEnd(Map<String, MachineEntry> machineByName, Map.Entry<String, UnresolvedHost> host) {
        return host.getValue()
                .machine()
                .map(machineByName::get)
                .filter(machine -> machine.condition().endsHost() || carriesOtherHost(machine, host.getKey()))
                .isPresent();
    }

    private static boolean carriesOtherHost(MachineEntry machine, String host) {
        return !machine.host().isEmpty() && !machine.host().equals(host);
    }

    /**
     * Returns whether a job may start: no earlier term can have started it, or all services that its records name are
     * open, as the earlier term may have run it by any of them.
     *
     * @param confirmedAt monotonic time in milliseconds at which the last confirmed record of this term was sent; a
     *     later term may have renewed leases that had not expired by then
     */
    boolean canStart(WorkJob job, long confirmedAt) {
        return !mayHaveStarted(job.identifier())
                || job.receivedAt > earlierStartsEndAt
                || (job.hasUnreadableRecord
                        ? isResolved(confirmedAt) && partlyListed.isEmpty()
                        : job.services().stream().allMatch(service -> isOpen(service, confirmedAt)));
    }

    /** Returns whether an earlier term may have started tasks of a job, by the start intents that it stored. */
    boolean mayHaveStarted(String job) {
        return earlier.mayHaveStarted(job);
    }

    private boolean isOpen(String service, long confirmedAt) {
        for (UnresolvedHost host : unresolved.values()) {
            if (host.mayRunFor(service) && confirmedAt < host.leaseExpiresAt()) {
                return false;
            }
        }
        return partlyListed.values().stream().noneMatch(host -> host.mayRunFor(service));
    }

    /** Returns the hosts that keep services closed. */
    Set<String> findBlockingHosts(long now) {
        Set<String> hosts = new HashSet<>(partlyListed.keySet());
        unresolved.forEach((host, unresolvedHost) -> {
            if (now < unresolvedHost.leaseExpiresAt()) {
                hosts.add(host);
            }
        });
        return hosts;
    }

    /** Returns the closed services with the hosts for which each of them waits. */
    Map<String, ClosedService> findClosedServices(long now) {
        Map<String, Set<String>> hosts = new HashMap<>();
        Map<String, Long> opensAt = new HashMap<>();
        unresolved.forEach((host, unresolvedHost) -> {
            if (now < unresolvedHost.leaseExpiresAt()) {
                for (String service : unresolvedHost.services()) {
                    hosts.computeIfAbsent(service, key -> new TreeSet<>()).add(host);
                    opensAt.merge(service, unresolvedHost.leaseExpiresAt(), Math::max);
                }
            }
        });
        partlyListed.forEach((host, listedHost) -> {
            for (String service : listedHost.services()) {
                hosts.computeIfAbsent(service, key -> new TreeSet<>()).add(host);
                opensAt.merge(service, now, Math::max);
            }
        });
        Map<String, ClosedService> services = new TreeMap<>();
        hosts.forEach((service, blockingHosts) ->
                services.put(service, new ClosedService(blockingHosts, opensAt.get(service))));
        return services;
    }

    /** Returns the hosts that may still have runs of an earlier term, with their services and lease expiry. */
    Map<String, UnresolvedHost> unresolved() {
        return Map.copyOf(unresolved);
    }

    /**
     * A host that may have runs of an earlier term. Immutable.
     *
     * @param service its service
     * @param otherServices further services of whose jobs it may have runs
     * @param leaseExpiresAt monotonic time in milliseconds at which its lease has expired for certain
     * @param machine name of its machine; empty when it is not known
     */
    record UnresolvedHost(String service, Set<String> otherServices, long leaseExpiresAt, Optional<String> machine) {
        UnresolvedHost {
            otherServices = Set.copyOf(otherServices);
        }

        private boolean mayRunFor(String name) {
            return service.equals(name) || otherServices.contains(name);
        }

        private Set<String> services() {
            Set<String> all = new HashSet<>(otherServices);
            all.add(service);
            return all;
        }
    }
}
