package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.work.HostEntry;
import org.junit.jupiter.api.Test;

/** Guards against tasks that run twice because an entry of another writer names the address of their host. */
class HostAddressTest {
    private static final HostEntry FIRST = WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1");
    private static final HostEntry SECOND = WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2");

    private final WorkScheduler scheduler = WorkFixtures.scheduler(FIRST, SECOND);

    private static HostEntry entry(String identifier, String service, String address) {
        return new HostEntry(
                identifier, service, address, "zone", false, 9_000, 1, FIRST.capacity(), List.of("kind", "rack-3"));
    }

    /** Starts a lasting task, and returns the entries of its host and of the other one. */
    private List<HostEntry> startTask() {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(1), 0));
        WorkFixtures.confirmStarts(scheduler, starts, 10);
        boolean runsOnFirst = starts.get(0).target().host().equals("first");
        return runsOnFirst ? List.of(FIRST, SECOND) : List.of(SECOND, FIRST);
    }

    private List<WorkOrder.Start> startsAt(long now) {
        return WorkFixtures.startsAfterStoring(scheduler, now, 0);
    }

    @Test
    void keepsRunsOfHostWhoseAddressAnEntryOfAnotherServiceNames() {
        HostEntry host = startTask().get(0);
        scheduler.updateHosts(List.of(FIRST, SECOND, entry("other", "backup-agents", host.address())), at(100));
        assertEquals(List.of(), startsAt(101));
    }

    @Test
    void keepsRunsOfHostWhoseAddressAnEntryOfItsServiceNames() {
        HostEntry host = startTask().get(0);
        scheduler.updateHosts(List.of(FIRST, SECOND, entry("other", WorkFixtures.BUSY, host.address())), at(100));
        assertEquals(List.of(), startsAt(101));
    }

    private static WorkScheduler createSuccessor(List<HostEntry> entries) {
        EarlierHosts earlier = new EarlierHosts(
                Map.of("first", WorkFixtures.BUSY, "second", WorkFixtures.BUSY),
                Map.of("first", 5_000L, "second", 5_000L),
                Map.of(),
                Optional.of(Set.of("job")));
        WorkScheduler successor = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 0);
        successor.updateHosts(entries, at(1));
        WorkFixtures.replyToPoll(successor, "second", 2, List.of(), List.of());
        return successor;
    }

    @Test
    void keepsServiceClosedWhenAnEntryNamesTheAddressOfAHostOfAnEarlierTerm() {
        HostEntry other = entry("other", WorkFixtures.BUSY, FIRST.address());
        assertEquals(
                Set.of("first"), createSuccessor(List.of(FIRST, SECOND, other)).findBlockingHosts(at(3)));
    }

    @Test
    void keepsServiceClosedWhenTheEntryOfAHostOfAnEarlierTermNamesTheAddressOfAnother() {
        WorkScheduler successor = createSuccessor(List.of(entry("first", WorkFixtures.BUSY, SECOND.address()), SECOND));
        successor.onHostReplaced("first", SECOND.address(), 11);
        assertEquals(Set.of("first"), successor.findBlockingHosts(at(12)));
    }

    @Test
    void opensServiceOnceALaterHostRepliesAtTheAddressOfAHostOfAnEarlierTerm() {
        HostEntry later = entry("later", WorkFixtures.BUSY, FIRST.address());
        WorkScheduler successor = createSuccessor(List.of(FIRST, SECOND, later));
        successor.onHostReplaced("first", FIRST.address(), 11);
        assertEquals(Set.of("first"), successor.findBlockingHosts(at(12)));
        WorkFixtures.replyToPoll(successor, "later", 13, List.of(), List.of());
        successor.onHostReplaced("first", FIRST.address(), 14);
        assertEquals(Set.of(), successor.findBlockingHosts(at(15)));
    }

    private String polledAddressOfFirst(long now) {
        return scheduler.createPoll("first", at(now), 0).orElseThrow().target().address();
    }

    @Test
    void pollsHostAtItsOwnAddressAgainAfterItsEntryNamedAnother() {
        startTask();
        scheduler.updateHosts(List.of(entry("first", WorkFixtures.BUSY, SECOND.address()), SECOND), at(100));
        assertEquals(FIRST.address(), polledAddressOfFirst(101));
        scheduler.onPollFailed("first");
        assertEquals(SECOND.address(), polledAddressOfFirst(102));
        scheduler.onHostReplaced("first", SECOND.address(), 102);
        assertEquals(FIRST.address(), polledAddressOfFirst(103));
        assertEquals(List.of(), startsAt(104));
    }

    @Test
    void usesHostAtItsNewAddressAfterItsProcessWasReplaced() {
        List<HostEntry> entries = List.of(entry("first", WorkFixtures.BUSY, "elsewhere:1"), SECOND);
        scheduler.updateHosts(entries, at(100));
        scheduler.onHostReplaced("first", FIRST.address(), 101);
        scheduler.updateHosts(entries, at(102));
        assertEquals("elsewhere:1", polledAddressOfFirst(103));
    }

    @Test
    void pollsNoHostOfAServiceThatNoConfigurationNamesUntilOneDoes() {
        List<HostEntry> entries = List.of(FIRST, SECOND, entry("other", "new-service", "other:1"));
        scheduler.addServices(Set.of(WorkFixtures.BUSY));
        scheduler.updateHosts(entries, at(100));
        assertEquals(Set.of("first", "second"), scheduler.findHostsToPoll());
        scheduler.addServices(Set.of(WorkFixtures.BUSY, "new-service"));
        scheduler.updateHosts(entries, at(200));
        assertEquals(Set.of("first", "second", "other"), scheduler.findHostsToPoll());
    }

    @Test
    void usesHostsOfTheServiceOfAJobThatTheKnownConfigurationDoesNotName() {
        scheduler.addServices(Set.of(WorkFixtures.BUSY));
        scheduler.addJob(WorkFixtures.job("job", "new-service", 0, WorkFixtures.step(1, 1_000, 500)), at(1));
        scheduler.updateHosts(List.of(FIRST, SECOND, entry("other", "new-service", "other:1")), at(100));
        assertEquals(Set.of("first", "second", "other"), scheduler.findHostsToPoll());
    }

    @Test
    void keepsRunsOfHostWhoseEntryNamesAnUnknownServiceForAWhile() {
        List<HostEntry> hosts = startTask();
        HostEntry host = hosts.get(0);
        scheduler.addServices(Set.of(WorkFixtures.BUSY));
        HostEntry odd = entry(host.identifier(), "backup-agents", host.address());
        scheduler.updateHosts(List.of(odd, hosts.get(1)), at(100));
        assertEquals(Set.of("first", "second"), scheduler.findHostsToPoll());
        assertEquals(List.of(), startsAt(101));
    }
}
