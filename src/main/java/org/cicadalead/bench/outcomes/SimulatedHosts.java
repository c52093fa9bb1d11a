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

/** What the hosts really do, and the fake of the platform's lagging list and of its reboots. For use by one thread. */
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
        for (SimulatedHost truth : hostsByName.values()) {
            truth.advance(now);
        }
        listedHealth = createListedHealth();
    }

    /** Fails a host for a time. */
    void fail(HostName name, long milliseconds) {
        SimulatedHost truth = hostsByName.get(name);
        truth.startAbsence(now);
        truth.downUntil = Math.max(truth.downUntil, now + milliseconds);
    }

    /** Announces that a host leaves; it goes down after the notice, for a time. */
    void announceLeaving(HostName name, long downMilliseconds) {
        SimulatedHost truth = hostsByName.get(name);
        truth.startAbsence(now);
        truth.leavingUntil = now + LEAVING_NOTICE_MILLISECONDS;
        truth.leavingDownMilliseconds = downMilliseconds;
    }

    /** Tells whether a host is missing for a cause that nobody planned. */
    boolean isAwayUnplanned(HostName name) {
        return hostsByName.get(name).isAwayUnplanned(now);
    }

    /** Tells whether a host is missing for a cause that nobody planned, or came back less than a time ago. */
    boolean wasAwayUnplanned(HostName name, long withinMilliseconds) {
        SimulatedHost truth = hostsByName.get(name);
        return truth.isAwayUnplanned(now) || (truth.downUntil > 0 && truth.downUntil + withinMilliseconds >= now);
    }

    /** Tells whether a host works, so far as its hardware goes. */
    boolean isWorking(HostName name) {
        SimulatedHost truth = hostsByName.get(name);
        return !truth.isAwayUnplanned(now) && truth.rebootUntil <= now && !truth.isBroken;
    }

    /** Returns since when a host is missing for a cause that nobody planned. */
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

    /** Starts a reboot unless it was asked for before; returns whether it did. */
    boolean startReboot(HostName name, long operation) {
        SimulatedHost truth = hostsByName.get(name);
        if (operation <= truth.lastOperation) {
            return false;
        }
        truth.lastOperation = operation;
        truth.reboots++;
        Random random = new Random(seed * 31 + name.hashCode() * 17L + truth.reboots);
        truth.rebootUntil = now + MIN_REBOOT_MILLISECONDS + random.nextInt(REBOOT_SPREAD_MILLISECONDS);
        truth.isBreakingAfterReboot = random.nextInt(REBOOTS_PER_BROKEN_HOST) == 0;
        return true;
    }

    HostCondition condition(HostName name) {
        SimulatedHost truth = hostsByName.get(name);
        HostCondition.Progress progress = truth.isBroken
                ? HostCondition.Progress.BROKEN
                : truth.rebootUntil > now || truth.downUntil > now
                        ? HostCondition.Progress.REBOOTING
                        : HostCondition.Progress.RUNNING;
        return new HostCondition(truth.lastOperation, progress);
    }

    /** Returns the list as the platform shows it, late. */
    Map<HostName, HostHealth> listedHealth() {
        return listedHealth;
    }

    private Map<HostName, HostHealth> createListedHealth() {
        Map<HostName, HostHealth> listed = new HashMap<>();
        for (SimulatedHost truth : hostsByName.values()) {
            truth.listed.ifPresent(entry -> listed.put(entry.host(), entry.health()));
        }
        return listed;
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
            Optional<DirectoryEntry> seen = currentEntry(time);
            if (!seen.equals(actual)) {
                actual = seen;
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
