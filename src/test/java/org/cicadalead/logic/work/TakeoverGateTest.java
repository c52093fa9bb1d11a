package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.HostClaim;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.MachineCondition;
import org.cicadalead.model.work.MachineEntry;
import org.cicadalead.model.work.RunKey;
import org.cicadalead.model.work.TaskKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TakeoverGateTest {
    private static final HostEntry HOST = WorkFixtures.host("host", WorkFixtures.BUSY, "rack");
    private static final long FULL_BOUND = WorkFixtures.TERMS.earlierLeaseExpiryMilliseconds();

    private static LeaderRecord record(boolean resigned, HostClaim claim, Optional<Long> leasesExpireAfter) {
        return new LeaderRecord(
                1, "process", "address", resigned, Map.of("earlier", claim), Optional.empty(), leasesExpireAfter);
    }

    private static HostClaim claim(boolean answering, long remainingLease) {
        return new HostClaim(WorkFixtures.BUSY, answering, remainingLease, Optional.of("machine"));
    }

    private static Map<String, Long> expiryAt(LeaderRecord lastRecord, long observedAt, long now) {
        return EarlierHosts.from(new EarlierTerm(lastRecord, observedAt), List.of(HOST), WorkFixtures.TERMS, now)
                .leaseExpiresAfter();
    }

    private static WorkScheduler createSuccessor(LeaderRecord lastRecord) {
        EarlierHosts earlier =
                EarlierHosts.from(new EarlierTerm(lastRecord, 0), List.of(HOST), WorkFixtures.TERMS, 1_000);
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, earlier, 1_000);
        scheduler.updateHosts(List.of(HOST), at(1_000));
        WorkFixtures.replyToPoll(scheduler, "host", 1_010, List.of(), List.of());
        return scheduler;
    }

    /** A machine that is down, or without a host, may have been cut off with its host running on. */
    @ParameterizedTest
    @CsvSource({
        "machine, MOVING, '', true",
        "machine, UPKEEP, '', true",
        "machine, MOVING, earlier, true",
        "machine, UP, later, true",
        "machine, UP, earlier, false",
        "machine, UP, '', false",
        "machine, DOWN, '', false",
        "machine, DOWN, earlier, false",
        "other-machine, MOVING, '', false"
    })
    void opensServiceOnlyOnCertainEvidenceThatMachineEndedHost(
            String machine, MachineCondition condition, String host, boolean opens) {
        WorkScheduler scheduler = createSuccessor(record(false, claim(true, 5_000), Optional.of(FULL_BOUND)));
        assertEquals(Set.of("earlier"), scheduler.findBlockingHosts(at(1_020)));
        scheduler
                .createMachineView()
                .updateMachines(List.of(new MachineEntry(machine, WorkFixtures.BUSY, condition, host)));
        assertEquals(opens ? Set.of() : Set.of("earlier"), scheduler.findBlockingHosts(at(1_020)));
    }

    @Test
    void announcesMachineOfHostForSuccessor() {
        WorkScheduler scheduler = WorkFixtures.scheduler(HOST);
        scheduler
                .createMachineView()
                .updateMachines(List.of(new MachineEntry("machine", WorkFixtures.BUSY, MachineCondition.UP, "host")));
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(1, 0)), at(1));
        assertEquals(
                1,
                WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(1), 0)).size());
        assertEquals(
                Optional.of("machine"),
                scheduler.announceHostsInUse(at(2)).claims().get("host").machine());
    }

    @Test
    void countsBoundsFromObservationOfLastRecord() {
        LeaderRecord lastRecord = record(false, claim(true, 5_000), Optional.of(FULL_BOUND));
        assertEquals(
                Map.of("earlier", FULL_BOUND - 3_000, "host", FULL_BOUND - 3_000), expiryAt(lastRecord, 500, 3_500));
        LeaderRecord silentHost = record(false, claim(false, 5_000), Optional.of(FULL_BOUND));
        assertEquals(Map.of("earlier", 2_000L, "host", FULL_BOUND - 3_000), expiryAt(silentHost, 500, 3_500));
        LeaderRecord resigned = record(true, claim(true, 5_000), Optional.of(0L));
        assertEquals(Map.of("earlier", 2_000L), expiryAt(resigned, 500, 3_500));
    }

    @Test
    void assumesLongestLeasesForRecordWithoutAnnouncedBounds() {
        LeaderRecord lastRecord = record(false, claim(true, 5_000), Optional.empty());
        long longestBound = 6_000 + Math.round((5_700 + 2_500 * 0.02) / 0.98) + 2;
        assertEquals(Map.of("earlier", longestBound, "host", longestBound), expiryAt(lastRecord, 500, 500));
        HostsInUse carriedOn = HostsInUse.fromEarlierTerm(Optional.of(new EarlierTerm(lastRecord, 500)), 900);
        assertEquals(Optional.empty(), carriedOn.leasesExpireAfter());
        assertTrue(carriedOn.claims().get("earlier").answering());
    }

    @Test
    void startsNothingAndRenewsNoLeaseBeforeItsFirstAnnouncementIsStored() {
        RunKey run = new RunKey(new TaskKey("job", 0, 0, 0), 1);
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, 2, EarlierHosts.NONE, 0);
        scheduler.updateHosts(List.of(HOST), at(0));
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(2, 0)), at(0));
        WorkFixtures.replyToPoll(scheduler, "host", 1, List.of(new ActiveRun(run, "", 100, 0)), List.of());
        scheduler.addJob(WorkFixtures.job("new", WorkFixtures.BUSY, 0, WorkFixtures.step(1, 1_000, 500)), at(2));
        assertEquals(List.of(), WorkFixtures.startsIn(scheduler.decide(at(3), 0)));
        assertEquals(
                OptionalLong.empty(),
                scheduler.createPoll("host", at(3), 0).orElseThrow().deadline());
        assertTrue(scheduler.hasPendingStartIntents());
        scheduler.onAnnouncementStored(scheduler.announceHostsInUse(at(4)).generation());
        assertTrue(
                scheduler.createPoll("host", at(5), 0).orElseThrow().deadline().isPresent());
    }
}
