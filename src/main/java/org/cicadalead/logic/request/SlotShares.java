package org.cicadalead.logic.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/**
 * Tracks which slots of the workers this process owns across membership changes.
 *
 * <p>Invariant: two processes never own the same slot of a worker. A slot that a new set of owners assigns to this
 * process is used only after every other owner has reported that it has applied the change and uses no slots above its
 * new share, and after the quarantine in which the requests of a process that departed without announcing that it was
 * idle must have ended. A slot that the new owners no longer include is released immediately. Not safe for use by
 * several threads.
 */
public final class SlotShares {
    private static final int MAX_UNCONFIRMED_OWNER_SETS = 16;

    private final ProcessIdentifier self;
    private final Map<ZoneName, ZoneOwners> zones = new HashMap<>();
    private Set<ProcessIdentifier> members = Set.of();

    /** Creates shares without any owned slot. */
    public SlotShares(ProcessIdentifier self) {
        this.self = self;
    }

    /**
     * Applies a newer state.
     *
     * @param departedIdle whether a departed process had announced that it places no more work
     * @param quarantine time after which the requests of a departed process must have ended
     */
    public void update(SharedState state, Predicate<ProcessIdentifier> departedIdle, Duration quarantine, long now) {
        members = state.members().keySet();
        Predicate<ProcessIdentifier> mayStillRun = process -> !members.contains(process) && !departedIdle.test(process);
        for (ZoneName zone : state.configuration().merged().zones().keySet()) {
            List<ProcessIdentifier> owners = SlotAssignment.findOwners(state, zone);
            zones.computeIfAbsent(zone, absent -> new ZoneOwners())
                    .updateOwners(owners, state.offset(), mayStillRun, quarantine, now);
        }
    }

    /** Confirms every zone whose owners have all reported; returns true when that changed a share. */
    public boolean confirm(ToLongFunction<ProcessIdentifier> reportedOffset, long now) {
        boolean changed = false;
        for (ZoneOwners zone : zones.values()) {
            changed |= zone.confirm(process -> process.equals(self) || !members.contains(process), reportedOffset, now);
        }
        return changed;
    }

    /** Returns the processes whose reports are still missing. */
    public Set<ProcessIdentifier> findAwaitedProcesses(ToLongFunction<ProcessIdentifier> reportedOffset) {
        Set<ProcessIdentifier> awaited = new TreeSet<>();
        for (ZoneOwners zone : zones.values()) {
            zone.processesToAsk(process -> process.equals(self) || !members.contains(process))
                    .filter(process -> reportedOffset.applyAsLong(process) < zone.changeOffset)
                    .forEach(awaited::add);
        }
        return awaited;
    }

    /** Returns whether the newest owners of a zone are confirmed. */
    public boolean isConfirmed(ZoneName zone) {
        ZoneOwners owners = zones.get(zone);
        return owners != null && owners.ownerSets.size() == 1;
    }

    /** Returns how many slots of a host this process owns. */
    public int countOwnedSlots(HostDefinition host) {
        ZoneOwners zone = zones.get(host.zone());
        return zone == null ? 0 : zone.ownedSlots(host, self).cardinality();
    }

    /** Returns the processes that own slots in a zone according to the newest state. */
    public List<ProcessIdentifier> owners(ZoneName zone) {
        return Optional.ofNullable(zones.get(zone))
                .map(ZoneOwners::newestOwners)
                .orElse(List.of());
    }

    /** Returns whether the requests of every departed process must have ended. */
    public boolean isQuarantineOver(long now) {
        return zones.values().stream().allMatch(zone -> zone.isQuarantineOver(now));
    }

    /**
     * Owners of the slots of one zone. The sets since the last confirmed one are kept, as any of them may still be in
     * use.
     */
    private static final class ZoneOwners {
        private final List<List<ProcessIdentifier>> ownerSets = new ArrayList<>(List.of(List.of()));
        private long changeOffset;
        private Optional<Long> quarantineEnd = Optional.empty();

        List<ProcessIdentifier> newestOwners() {
            return ownerSets.get(ownerSets.size() - 1);
        }

        void updateOwners(
                List<ProcessIdentifier> owners,
                long offset,
                Predicate<ProcessIdentifier> mayStillRun,
                Duration quarantine,
                long now) {
            if (owners.equals(newestOwners())) {
                return;
            }
            if (newestOwners().stream().anyMatch(mayStillRun)) {
                quarantineEnd = Optional.of(now + quarantine.toNanos());
            }
            ownerSets.add(owners);
            changeOffset = offset;
            if (ownerSets.size() > MAX_UNCONFIRMED_OWNER_SETS) {
                List<ProcessIdentifier> allOwners =
                        ownerSets.stream().flatMap(List::stream).distinct().toList();
                ownerSets.clear();
                ownerSets.add(List.of());
                ownerSets.add(allOwners);
                ownerSets.add(owners);
            }
        }

        /**
         * Confirms the newest set if every process of all sets since the last confirmed one has reported, except those
         * that need not be asked.
         */
        boolean confirm(
                Predicate<ProcessIdentifier> needsNoReport,
                ToLongFunction<ProcessIdentifier> reportedOffset,
                long now) {
            if (ownerSets.size() == 1 || !isQuarantineOver(now)) {
                return false;
            }
            boolean allReported = processesToAsk(needsNoReport)
                    .allMatch(process -> reportedOffset.applyAsLong(process) >= changeOffset);
            if (!allReported) {
                return false;
            }
            List<ProcessIdentifier> confirmed = newestOwners();
            ownerSets.clear();
            ownerSets.add(confirmed);
            return true;
        }

        Stream<ProcessIdentifier> processesToAsk(Predicate<ProcessIdentifier> needsNoReport) {
            return ownerSets.size() == 1
                    ? Stream.empty()
                    : ownerSets.stream().flatMap(List::stream).filter(needsNoReport.negate());
        }

        boolean isQuarantineOver(long now) {
            return quarantineEnd.map(end -> now - end >= 0).orElse(true);
        }

        BitSet ownedSlots(HostDefinition host, ProcessIdentifier self) {
            BitSet owned = SlotAssignment.assignedSlots(host, ownerSets.get(0), self);
            for (List<ProcessIdentifier> set : ownerSets) {
                owned.and(SlotAssignment.assignedSlots(host, set, self));
            }
            return owned;
        }
    }
}
