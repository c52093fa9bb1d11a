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
 * Which slots of the workers this process owns, through every change of membership.
 *
 * <p>Invariant: two processes never count the same slot of a worker as theirs. A slot that a new set of owners gives to
 * this process is taken only after every other owner has reported that it has applied the change and uses nothing above
 * its new share, and after the requests of a process that departed without saying that it was idle must have ended. A
 * slot that is taken away is given up at once. Not safe for use by several threads.
 */
public final class SlotShares {
    private static final int MAX_UNCONFIRMED_OWNER_SETS = 16;

    private final ProcessIdentifier self;
    private final Map<ZoneName, ZoneOwners> zones = new HashMap<>();
    private Set<ProcessIdentifier> members = Set.of();

    /** Creates shares that own nothing yet. */
    public SlotShares(ProcessIdentifier self) {
        this.self = self;
    }

    /**
     * Takes in a newer state.
     *
     * @param departedIdle whether a process that departed had reported that it places no work any more
     * @param quarantine time after which the requests of a departed process must have ended
     */
    public void update(SharedState state, Predicate<ProcessIdentifier> departedIdle, Duration quarantine, long now) {
        members = state.members().keySet();
        Predicate<ProcessIdentifier> mayStillRun = process -> !members.contains(process) && !departedIdle.test(process);
        for (ZoneName zone : state.configuration().merged().zones().keySet()) {
            List<ProcessIdentifier> owners = SlotAssignment.findOwners(state, zone);
            zones.computeIfAbsent(zone, unseen -> new ZoneOwners())
                    .updateOwners(owners, state.offset(), mayStillRun, quarantine, now);
        }
    }

    /** Confirms every zone whose owners have all reported; true when that changed a share. */
    public boolean confirm(ToLongFunction<ProcessIdentifier> reportedOffset, long now) {
        boolean changed = false;
        for (ZoneOwners zone : zones.values()) {
            changed |= zone.confirm(process -> process.equals(self) || !members.contains(process), reportedOffset, now);
        }
        return changed;
    }

    /** Returns the processes whose reports are waited for. */
    public Set<ProcessIdentifier> findAwaitedProcesses(ToLongFunction<ProcessIdentifier> reportedOffset) {
        Set<ProcessIdentifier> awaited = new TreeSet<>();
        for (ZoneOwners zone : zones.values()) {
            zone.processesToAsk(process -> process.equals(self) || !members.contains(process))
                    .filter(process -> reportedOffset.applyAsLong(process) < zone.changeOffset)
                    .forEach(awaited::add);
        }
        return awaited;
    }

    /** Tells whether the share in a zone is the newest one. */
    public boolean isConfirmed(ZoneName zone) {
        ZoneOwners owners = zones.get(zone);
        return owners != null && owners.ownerSets.size() == 1;
    }

    /** Returns how many slots of a host this process owns. */
    public int countOwnedSlots(HostDefinition host) {
        ZoneOwners zone = zones.get(host.zone());
        return zone == null ? 0 : zone.ownedSlots(host, self).cardinality();
    }

    /** Returns the processes that own slots in a zone, by the newest state. */
    public List<ProcessIdentifier> owners(ZoneName zone) {
        return Optional.ofNullable(zones.get(zone))
                .map(ZoneOwners::newestOwners)
                .orElse(List.of());
    }

    /** Tells whether the requests of every departed process must have ended. */
    public boolean isQuarantineOver(long now) {
        return zones.values().stream().allMatch(zone -> zone.isQuarantineOver(now));
    }

    /**
     * Owners of the hosts of one zone. The sets since the last confirmed one are kept, as all of them may be in use.
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
                List<ProcessIdentifier> all =
                        ownerSets.stream().flatMap(List::stream).distinct().toList();
                ownerSets.clear();
                ownerSets.add(List.of());
                ownerSets.add(all);
                ownerSets.add(owners);
            }
        }

        /** Every process of any set since the last confirmed one must have reported, unless it need not be asked. */
        boolean confirm(
                Predicate<ProcessIdentifier> notAsked, ToLongFunction<ProcessIdentifier> reportedOffset, long now) {
            if (ownerSets.size() == 1 || !isQuarantineOver(now)) {
                return false;
            }
            boolean allReported =
                    processesToAsk(notAsked).allMatch(process -> reportedOffset.applyAsLong(process) >= changeOffset);
            if (!allReported) {
                return false;
            }
            List<ProcessIdentifier> confirmed = newestOwners();
            ownerSets.clear();
            ownerSets.add(confirmed);
            return true;
        }

        Stream<ProcessIdentifier> processesToAsk(Predicate<ProcessIdentifier> notAsked) {
            return ownerSets.size() == 1
                    ? Stream.empty()
                    : ownerSets.stream().flatMap(List::stream).filter(notAsked.negate());
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
