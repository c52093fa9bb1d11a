package org.cicadalead.bench.outcomes;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.fleet.HostCondition;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.ports.HostDirectory.DirectoryEntry;

/**
 * Simulates the actual state of the hosts, the reboots by the platform and the platform's host list, which lags behind.
 * Times are in virtual milliseconds. For use by one thread.
 */
final class SimulatedHosts {
    private static final long LIST_LAG_MILLISECONDS = 15_000;
    private static final long LEAVING_NOTICE_MILLISECONDS = 10 * 60_000;
    private static final long MIN_REBOOT_MILLISECONDS = 180_000;
    private static final int REBOOT_SPREAD_MILLISECONDS = 180_000;
    private static final long BROKEN_MILLISECONDS = 60 * 60_000;
    private static final int REBOOTS_PER_BROKEN_HOST = 60;

    private final Map<HostName, SimulatedHost> hostsByName = new TreeMap<>();
    private final long seed;
    private Map<HostName, HostHealth> listedHealth = Map.of();
    private long now;

    SimulatedHosts(Iterable<HostDefinition> hosts, long seed) {
        this.seed = seed;
        hosts.forEach(host -> hostsByName.put(host.name(), new SimulatedHost(host)));
    }

    void advance(long nowMilliseconds) {
        now = nowMilliseconds;
        for (SimulatedHost host : hostsByName.values()) {
            host.advance(now);
        }
        listedHealth = createListedHealth();
    }

    /** Fails a host for a period. */
    void fail(HostName name, long milliseconds) {
        SimulatedHost host = hostsByName.get(name);
        host.startAbsence(now);
        host.downUntil = Math.max(host.downUntil, now + milliseconds);
    }

    /** Announces that a host leaves; after the period of notice it is down for the given time. */
    void announceLeaving(HostName name, long downMilliseconds) {
        SimulatedHost host = hostsByName.get(name);
        host.startAbsence(now);
        host.leavingUntil = now + LEAVING_NOTICE_MILLISECONDS;
        host.leavingDownMilliseconds = downMilliseconds;
    }

    /** Returns whether a host is absent for an unplanned reason. */
    boolean isAwayUnplanned(HostName name) {
        return hostsByName.get(name).isAwayUnplanned(now);
    }

    /** Returns whether a host is absent for an unplanned reason, or was until less than the given time ago. */
    boolean wasAwayUnplanned(HostName name, long withinMilliseconds) {
        SimulatedHost host = hostsByName.get(name);
        return host.isAwayUnplanned(now) || (host.downUntil > 0 && host.downUntil + withinMilliseconds >= now);
    }

    /** Returns whether the hardware of a host can run work. */
    boolean isWorking(HostName name) {
        SimulatedHost host = hostsByName.get(name);
        return !host.isAwayUnplanned(now) && host.rebootUntil <= now && !host.isBroken;
    }

    /** Returns when the latest unplanned absence of a host started. */
    long awaySince(HostName name) {
        return hostsByName.get(name).awaySince;
    }

    RackName rack(HostName name) {
        return hostsByName.get(name).definition.rack();
    }

    ZoneName zone(HostName name) {
        return hostsByName.get(name).definition.zone();
    }

    Set<HostName> names() {
        return hostsByName.keySet();
    }

    /** Starts a reboot unless this or a later operation was started before; returns whether it was started. */
    boolean startReboot(HostName name, long operation) {
        SimulatedHost host = hostsByName.get(name);
        if (operation <= host.lastOperation) {
            return false;
        }
        host.lastOperation = operation;
        host.reboots++;
        Random random = new Random(seed * 31 + name.hashCode() * 17L + host.reboots);
        host.rebootUntil = now + MIN_REBOOT_MILLISECONDS + random.nextInt(REBOOT_SPREAD_MILLISECONDS);
        host.isBreakingAfterReboot = random.nextInt(REBOOTS_PER_BROKEN_HOST) == 0;
        return true;
    }

    HostCondition condition(HostName name) {
        SimulatedHost host = hostsByName.get(name);
        HostCondition.Progress progress = host.isBroken
                ? HostCondition.Progress.BROKEN
                : host.rebootUntil > now || host.downUntil > now
                        ? HostCondition.Progress.REBOOTING
                        : HostCondition.Progress.RUNNING;
        return new HostCondition(host.lastOperation, progress);
    }

    /** Returns the health of the hosts that the platform lists, with its lag. */
    Map<HostName, HostHealth> listedHealth() {
        return listedHealth;
    }

    private Map<HostName, HostHealth> createListedHealth() {
        Map<HostName, HostHealth> healthByHost = new HashMap<>();
        for (SimulatedHost host : hostsByName.values()) {
            host.listed.ifPresent(entry -> healthByHost.put(entry.host(), entry.health()));
        }
        return healthByHost;
    }

    private static final class SimulatedHost {
        private final HostDefinition definition;
        private long awaySince;
        private long downUntil;
        private long leavingUntil;
        private long leavingDownMilliseconds;
        private long lastOperation;
        private long rebootUntil;
        private int reboots;
        private boolean isBreakingAfterReboot;
        private boolean isBroken;
        private long brokenUntil;
        private Optional<DirectoryEntry> actual;
        private Optional<DirectoryEntry> listed;
        private long actualSince;

        SimulatedHost(HostDefinition definition) {
            this.definition = definition;
            this.actual = Optional.of(new DirectoryEntry(definition.name(), HostHealth.UP));
            this.listed = actual;
        }

        boolean isAwayUnplanned(long time) {
            return downUntil > time || leavingUntil > time;
        }

        void startAbsence(long time) {
            if (!isAwayUnplanned(time)) {
                awaySince = time;
            }
        }

        void advance(long time) {
            if (leavingUntil > 0 && leavingUntil <= time) {
                leavingUntil = 0;
                downUntil = Math.max(downUntil, time + leavingDownMilliseconds);
            }
            if (isBreakingAfterReboot && rebootUntil <= time) {
                isBreakingAfterReboot = false;
                isBroken = true;
                brokenUntil = time + BROKEN_MILLISECONDS;
            }
            isBroken &= brokenUntil > time;
            Optional<DirectoryEntry> entry = currentEntry(time);
            if (!entry.equals(actual)) {
                actual = entry;
                actualSince = time;
            }
            if (time - actualSince >= LIST_LAG_MILLISECONDS) {
                listed = actual;
            }
        }

        private Optional<DirectoryEntry> currentEntry(long time) {
            if (downUntil > time || rebootUntil > time || isBroken) {
                return Optional.empty();
            }
            return Optional.of(
                    new DirectoryEntry(definition.name(), leavingUntil > time ? HostHealth.LEAVING : HostHealth.UP));
        }
    }
}
