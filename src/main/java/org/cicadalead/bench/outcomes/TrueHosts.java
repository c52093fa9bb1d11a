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
final class TrueHosts {
    private static final long LIST_LAG_MILLISECONDS = 15_000;
    private static final long LEAVING_NOTICE_MILLISECONDS = 10 * 60_000;
    private static final long SHORTEST_REBOOT_MILLISECONDS = 180_000;
    private static final int REBOOT_SPREAD_MILLISECONDS = 180_000;
    private static final long BROKEN_MILLISECONDS = 60 * 60_000;
    private static final int BROKEN_ONE_IN = 60;

    private final Map<HostName, Truth> truths = new TreeMap<>();
    private final long seed;
    private Map<HostName, HostHealth> list = Map.of();
    private long now;

    TrueHosts(Iterable<HostDefinition> hosts, long seed) {
        this.seed = seed;
        hosts.forEach(host -> truths.put(host.name(), new Truth(host)));
    }

    void advance(long nowMilliseconds) {
        now = nowMilliseconds;
        for (Truth truth : truths.values()) {
            truth.advance(now);
        }
        list = newList();
    }

    /** Fails a host for a time. */
    void fail(HostName name, long milliseconds) {
        Truth truth = truths.get(name);
        truth.noteAway(now);
        truth.downUntil = Math.max(truth.downUntil, now + milliseconds);
    }

    /** Announces that a host leaves; it goes down after the notice, for a time. */
    void leave(HostName name, long downMilliseconds) {
        Truth truth = truths.get(name);
        truth.noteAway(now);
        truth.leavingUntil = now + LEAVING_NOTICE_MILLISECONDS;
        truth.leavingDownMilliseconds = downMilliseconds;
    }

    /** Tells whether a host is missing for a cause that nobody planned. */
    boolean isUnplannedAway(HostName name) {
        return truths.get(name).isUnplannedAway(now);
    }

    /** Tells whether a host is missing for a cause that nobody planned, or came back less than a time ago. */
    boolean wasUnplannedAway(HostName name, long withinMilliseconds) {
        Truth truth = truths.get(name);
        return truth.isUnplannedAway(now) || (truth.downUntil > 0 && truth.downUntil + withinMilliseconds >= now);
    }

    /** Tells whether a host works, so far as its hardware goes. */
    boolean works(HostName name) {
        Truth truth = truths.get(name);
        return !truth.isUnplannedAway(now) && truth.rebootUntil <= now && !truth.broken;
    }

    /** Returns since when a host is missing for a cause that nobody planned. */
    long awaySince(HostName name) {
        return truths.get(name).awaySince;
    }

    RackName rack(HostName name) {
        return truths.get(name).definition.rack();
    }

    ZoneName zone(HostName name) {
        return truths.get(name).definition.zone();
    }

    Set<HostName> names() {
        return truths.keySet();
    }

    /** Starts a reboot unless it was asked for before; returns whether it did. */
    boolean reboot(HostName name, long operation) {
        Truth truth = truths.get(name);
        if (operation <= truth.operation) {
            return false;
        }
        truth.operation = operation;
        truth.reboots++;
        Random random = new Random(seed * 31 + name.hashCode() * 17L + truth.reboots);
        truth.rebootUntil = now + SHORTEST_REBOOT_MILLISECONDS + random.nextInt(REBOOT_SPREAD_MILLISECONDS);
        truth.breaks = random.nextInt(BROKEN_ONE_IN) == 0;
        return true;
    }

    HostCondition condition(HostName name) {
        Truth truth = truths.get(name);
        HostCondition.Progress progress = truth.broken
                ? HostCondition.Progress.BROKEN
                : truth.rebootUntil > now || truth.downUntil > now
                        ? HostCondition.Progress.REBOOTING
                        : HostCondition.Progress.RUNNING;
        return new HostCondition(truth.operation, progress);
    }

    /** Returns the list as the platform shows it, late. */
    Map<HostName, HostHealth> list() {
        return list;
    }

    private Map<HostName, HostHealth> newList() {
        Map<HostName, HostHealth> listed = new HashMap<>();
        for (Truth truth : truths.values()) {
            truth.listed.ifPresent(entry -> listed.put(entry.host(), entry.health()));
        }
        return listed;
    }

    private static final class Truth {
        private final HostDefinition definition;
        private long awaySince;
        private long downUntil;
        private long leavingUntil;
        private long leavingDownMilliseconds;
        private long operation;
        private long rebootUntil;
        private int reboots;
        private boolean breaks;
        private boolean broken;
        private long brokenUntil;
        private Optional<DirectoryEntry> actual;
        private Optional<DirectoryEntry> listed;
        private long actualSince;

        Truth(HostDefinition definition) {
            this.definition = definition;
            this.actual = Optional.of(new DirectoryEntry(definition.name(), HostHealth.UP));
            this.listed = actual;
        }

        boolean isUnplannedAway(long time) {
            return downUntil > time || leavingUntil > time;
        }

        void noteAway(long time) {
            if (!isUnplannedAway(time)) {
                awaySince = time;
            }
        }

        void advance(long time) {
            if (leavingUntil > 0 && leavingUntil <= time) {
                leavingUntil = 0;
                downUntil = Math.max(downUntil, time + leavingDownMilliseconds);
            }
            if (breaks && rebootUntil <= time) {
                breaks = false;
                broken = true;
                brokenUntil = time + BROKEN_MILLISECONDS;
            }
            broken &= brokenUntil > time;
            Optional<DirectoryEntry> seen = seen(time);
            if (!seen.equals(actual)) {
                actual = seen;
                actualSince = time;
            }
            if (time - actualSince >= LIST_LAG_MILLISECONDS) {
                listed = actual;
            }
        }

        private Optional<DirectoryEntry> seen(long time) {
            if (downUntil > time || rebootUntil > time || broken) {
                return Optional.empty();
            }
            return Optional.of(
                    new DirectoryEntry(definition.name(), leavingUntil > time ? HostHealth.LEAVING : HostHealth.UP));
        }
    }
}
