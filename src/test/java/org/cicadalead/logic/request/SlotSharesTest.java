package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadalead.bench.requests.SyntheticFleet;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;

class SlotSharesTest {
    private static final Duration QUARANTINE = Duration.ofSeconds(10);
    private static final SharedState START = new SyntheticFleet(2, 1, 4, 1, Duration.ofSeconds(8), 100).state();
    private static final List<HostDefinition> HOSTS =
            List.copyOf(START.configuration().merged().hosts().values());

    @Test
    void onlyProcessOwnsEverySlot() {
        EntryModel process = new EntryModel("a");
        process.apply(SyntheticFleet.withMember(START, process.identifier, SyntheticFleet.zone(0)), 0);
        assertEquals(8, process.shares.countOwnedSlots(HOSTS.get(0)));
    }

    @Test
    void joiningProcessOwnsNothingBeforeOthersReport() {
        EntryModel existing = new EntryModel("a");
        EntryModel joining = new EntryModel("b");
        SharedState first = SyntheticFleet.withMember(START, existing.identifier, SyntheticFleet.zone(0));
        SharedState second = SyntheticFleet.withMember(first, joining.identifier, SyntheticFleet.zone(0));
        existing.apply(first, 0);
        joining.apply(second, 0);
        assertEquals(0, joining.shares.countOwnedSlots(HOSTS.get(0)));
        joining.reports.put(existing.identifier, second.offset());
        joining.apply(second, 0);
        assertEquals(4, joining.shares.countOwnedSlots(HOSTS.get(0)));
    }

    @Test
    void slotsOfCrashedProcessAreReusedOnlyAfterQuarantine() {
        EntryModel remaining = new EntryModel("a");
        ProcessIdentifier crashed = new ProcessIdentifier("b");
        SharedState bothMembers = SyntheticFleet.withMember(
                SyntheticFleet.withMember(START, remaining.identifier, SyntheticFleet.zone(0)),
                crashed,
                SyntheticFleet.zone(0));
        remaining.reports.put(crashed, bothMembers.offset());
        remaining.apply(bothMembers, 0);
        SharedState afterCrash = SyntheticFleet.withoutMember(bothMembers, crashed);
        remaining.apply(afterCrash, 0);
        assertEquals(4, remaining.shares.countOwnedSlots(HOSTS.get(0)));
        remaining.apply(afterCrash, QUARANTINE.toNanos());
        assertEquals(8, remaining.shares.countOwnedSlots(HOSTS.get(0)));
    }

    /**
     * Processes apply changes at different times, use the slots that they own, and report. No slot may ever have two
     * users.
     */
    @Property(tries = 300, seed = "4711")
    void noSlotHasTwoUsersDuringMembershipChanges(@ForAll long seed) {
        Random random = new Random(seed);
        List<EntryModel> processes = new ArrayList<>();
        List<SharedState> log = new ArrayList<>(List.of(START));
        for (int step = 0; step < 120; step++) {
            changeMembership(random, processes, log, step);
            EntryModel process = processes.isEmpty() ? null : processes.get(random.nextInt(processes.size()));
            if (process != null) {
                process.step(random, processes, log, step);
            }
            assertNoSlotHasTwoUsers(processes, seed, step);
        }
    }

    private static void changeMembership(Random random, List<EntryModel> processes, List<SharedState> log, int step) {
        SharedState newest = log.get(log.size() - 1);
        int roll = random.nextInt(10);
        if (roll == 0 && processes.size() < 7) {
            EntryModel joined = new EntryModel("process-" + step);
            joined.position = log.size();
            log.add(SyntheticFleet.withMember(newest, joined.identifier, SyntheticFleet.zone(random.nextInt(2))));
            processes.add(joined);
        } else if (roll == 1 && !processes.isEmpty()) {
            EntryModel departed = processes.remove(random.nextInt(processes.size()));
            log.add(SyntheticFleet.withoutMember(newest, departed.identifier));
        }
    }

    private static void assertNoSlotHasTwoUsers(List<EntryModel> processes, long seed, int step) {
        for (HostDefinition host : HOSTS) {
            int used = processes.stream()
                    .mapToInt(process -> process.used.getOrDefault(host, 0))
                    .sum();
            assertTrue(used <= host.slots(), "seed " + seed + " step " + step + ": " + used + " slots in use");
        }
    }

    /** A process that starts work on every slot it owns, and continues the work for a while after it lost the slot. */
    private static final class EntryModel {
        final ProcessIdentifier identifier;
        final SlotShares shares;
        final Map<ProcessIdentifier, Long> reports = new HashMap<>();
        final Map<HostDefinition, Integer> used = new HashMap<>();
        int position;
        long drainedOffset;

        EntryModel(String name) {
            identifier = new ProcessIdentifier(name);
            shares = new SlotShares(identifier);
        }

        void apply(SharedState state, long now) {
            shares.update(state, departed -> false, QUARANTINE, now);
            shares.confirm(process -> reports.getOrDefault(process, 0L), now);
        }

        void step(Random random, List<EntryModel> processes, List<SharedState> log, int step) {
            long now = step * Duration.ofSeconds(1).toNanos();
            position = Math.min(log.size() - 1, position + random.nextInt(2));
            apply(log.get(position), now);
            boolean drained = true;
            for (HostDefinition host : HOSTS) {
                int owned = shares.countOwnedSlots(host);
                // Work on a lost slot may end at any later time; work on an owned slot starts immediately.
                int inUse = used.getOrDefault(host, 0) > owned && random.nextBoolean() ? used.get(host) : owned;
                used.put(host, inUse);
                drained &= inUse <= owned;
            }
            if (drained && shares.isQuarantineOver(now)) {
                drainedOffset = log.get(position).offset();
            }
            EntryModel other = processes.get(random.nextInt(processes.size()));
            reports.merge(other.identifier, other.drainedOffset, Math::max);
        }
    }
}
