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
    private static final int MOST_UNCONFIRMED_SETS = 16;

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
            List<ProcessIdentifier> owners = SlotDeal.owners(state, zone);
            zones.computeIfAbsent(zone, unseen -> new ZoneOwners())
                    .change(owners, state.offset(), mayStillRun, quarantine, now);
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
    public Set<ProcessIdentifier> awaited(ToLongFunction<ProcessIdentifier> reportedOffset) {
        Set<ProcessIdentifier> awaited = new TreeSet<>();
        for (ZoneOwners zone : zones.values()) {
            zone.asked(process -> process.equals(self) || !members.contains(process))
                    .filter(process -> reportedOffset.applyAsLong(process) < zone.changeOffset)
                    .forEach(awaited::add);
        }
        return awaited;
    }

    /** Tells whether the share in a zone is the newest one. */
    public boolean isConfirmed(ZoneName zone) {
        ZoneOwners owners = zones.get(zone);
        return owners != null && owners.sets.size() == 1;
    }

    /** Returns how many slots of a host this process owns. */
    public int owned(HostDefinition host) {
        ZoneOwners zone = zones.get(host.zone());
        return zone == null ? 0 : zone.owned(host, self).cardinality();
    }

    /** Returns the processes that own slots in a zone, by the newest state. */
    public List<ProcessIdentifier> owners(ZoneName zone) {
        return Optional.ofNullable(zones.get(zone)).map(ZoneOwners::newest).orElse(List.of());
    }

    /** Tells whether the requests of every departed process must have ended. */
    public boolean isQuarantineOver(long now) {
        return zones.values().stream().allMatch(zone -> zone.isQuarantineOver(now));
    }

    /**
     * Owners of the hosts of one zone. The sets since the last confirmed one are kept, as all of them may be in use.
     */
    private static final class ZoneOwners {
        private final List<List<ProcessIdentifier>> sets = new ArrayList<>(List.of(List.of()));
        private long changeOffset;
        private Optional<Long> quarantineEnd = Optional.empty();

        List<ProcessIdentifier> newest() {
            return sets.get(sets.size() - 1);
        }

        void change(
                List<ProcessIdentifier> owners,
                long offset,
                Predicate<ProcessIdentifier> mayStillRun,
                Duration quarantine,
                long now) {
            if (owners.equals(newest())) {
                return;
            }
            if (newest().stream().anyMatch(mayStillRun)) {
                quarantineEnd = Optional.of(now + quarantine.toNanos());
            }
            sets.add(owners);
            changeOffset = offset;
            if (sets.size() > MOST_UNCONFIRMED_SETS) {
                List<ProcessIdentifier> all =
                        sets.stream().flatMap(List::stream).distinct().toList();
                sets.clear();
                sets.add(List.of());
                sets.add(all);
                sets.add(owners);
            }
        }

        /** Every process of any set since the last confirmed one must have reported, unless it need not be asked. */
        boolean confirm(
                Predicate<ProcessIdentifier> notAsked, ToLongFunction<ProcessIdentifier> reportedOffset, long now) {
            if (sets.size() == 1 || !isQuarantineOver(now)) {
                return false;
            }
            boolean allReported =
                    asked(notAsked).allMatch(process -> reportedOffset.applyAsLong(process) >= changeOffset);
            if (!allReported) {
                return false;
            }
            List<ProcessIdentifier> confirmed = newest();
            sets.clear();
            sets.add(confirmed);
            return true;
        }

        Stream<ProcessIdentifier> asked(Predicate<ProcessIdentifier> notAsked) {
            return sets.size() == 1
                    ? Stream.empty()
                    : sets.stream().flatMap(List::stream).filter(notAsked.negate());
        }

        boolean isQuarantineOver(long now) {
            return quarantineEnd.map(end -> now - end >= 0).orElse(true);
        }

        BitSet owned(HostDefinition host, ProcessIdentifier self) {
            BitSet owned = SlotDeal.slotsOf(host, sets.get(0), self);
            for (List<ProcessIdentifier> set : sets) {
                owned.and(SlotDeal.slotsOf(host, set, self));
            }
            return owned;
        }
    }
}
