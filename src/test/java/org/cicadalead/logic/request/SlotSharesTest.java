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
        EntryModel old = new EntryModel("a");
        EntryModel fresh = new EntryModel("b");
        SharedState first = SyntheticFleet.withMember(START, old.identifier, SyntheticFleet.zone(0));
        SharedState second = SyntheticFleet.withMember(first, fresh.identifier, SyntheticFleet.zone(0));
        old.apply(first, 0);
        fresh.apply(second, 0);
        assertEquals(0, fresh.shares.countOwnedSlots(HOSTS.get(0)));
        fresh.reports.put(old.identifier, second.offset());
        fresh.apply(second, 0);
        assertEquals(4, fresh.shares.countOwnedSlots(HOSTS.get(0)));
    }

    @Test
    void slotsOfCrashedProcessAreReusedOnlyAfterQuarantine() {
        EntryModel left = new EntryModel("a");
        ProcessIdentifier crashed = new ProcessIdentifier("b");
        SharedState both = SyntheticFleet.withMember(
                SyntheticFleet.withMember(START, left.identifier, SyntheticFleet.zone(0)),
                crashed,
                SyntheticFleet.zone(0));
        left.reports.put(crashed, both.offset());
        left.apply(both, 0);
        SharedState alone = SyntheticFleet.withoutMember(both, crashed);
        left.apply(alone, 0);
        assertEquals(4, left.shares.countOwnedSlots(HOSTS.get(0)));
        left.apply(alone, QUARANTINE.toNanos());
        assertEquals(8, left.shares.countOwnedSlots(HOSTS.get(0)));
    }

    /** Processes apply changes at different times, use what they own, and report; no slot ever has two users. */
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
        int dice = random.nextInt(10);
        if (dice == 0 && processes.size() < 7) {
            EntryModel joined = new EntryModel("process-" + step);
            joined.position = log.size();
            log.add(SyntheticFleet.withMember(newest, joined.identifier, SyntheticFleet.zone(random.nextInt(2))));
            processes.add(joined);
        } else if (dice == 1 && !processes.isEmpty()) {
            EntryModel gone = processes.remove(random.nextInt(processes.size()));
            log.add(SyntheticFleet.withoutMember(newest, gone.identifier));
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

    /** A process that starts work on every slot it owns, and keeps it for a while after it lost the slot. */
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

        void step(Random random, List<EntryModel> all, List<SharedState> log, int step) {
            long now = step * Duration.ofSeconds(1).toNanos();
            position = Math.min(log.size() - 1, position + random.nextInt(2));
            apply(log.get(position), now);
            boolean drained = true;
            for (HostDefinition host : HOSTS) {
                int owned = shares.countOwnedSlots(host);
                // Work on a slot that was lost ends at any later time; on an owned one it starts at once.
                int kept = used.getOrDefault(host, 0) > owned && random.nextBoolean() ? used.get(host) : owned;
                used.put(host, kept);
                drained &= kept <= owned;
            }
            if (drained && shares.isQuarantineOver(now)) {
                drainedOffset = log.get(position).offset();
            }
            EntryModel other = all.get(random.nextInt(all.size()));
            reports.merge(other.identifier, other.drainedOffset, Math::max);
        }
    }
}
