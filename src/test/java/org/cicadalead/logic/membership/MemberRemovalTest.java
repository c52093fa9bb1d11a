package org.cicadalead.logic.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MemberRemovalTest {
    private static final ProcessIdentifier SELF = new ProcessIdentifier("b-self");
    private static final ProcessIdentifier LOWER = new ProcessIdentifier("a-lower");
    private static final ProcessIdentifier SAME_ZONE = new ProcessIdentifier("c-near");
    private static final ProcessIdentifier OTHER_ZONE = new ProcessIdentifier("d-far");
    private static final ProcessIdentifier SECOND_OTHER_ZONE = new ProcessIdentifier("e-far-too");
    private static final SharedState STATE = state();

    @Test
    void removesEndedMemberOfOwnZoneWithReadVersion() {
        List<MembershipCommand.Leave> removals =
                decide(Set.of(), endedHistories(SAME_ZONE), ObservationHistory.CONFIRMATION_TIME);
        assertEquals(List.of(new MembershipCommand.Leave(SAME_ZONE, 3)), removals);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ENDED")
    void keepsMemberOnOtherObservations(PeerObservation observation) {
        Map<ProcessIdentifier, ObservationHistory> histories =
                Map.of(SAME_ZONE, new ObservationHistory(observation, 1_000, 0));
        assertTrue(decide(Set.of(), histories, Duration.ofDays(1)).isEmpty());
    }

    @Test
    void waitsUntilObservationIsConfirmed() {
        Duration tooEarly = ObservationHistory.CONFIRMATION_TIME.minusNanos(1);
        assertTrue(decide(Set.of(), endedHistories(SAME_ZONE), tooEarly).isEmpty());
    }

    @Test
    void waitsForMemberWithLowerIdentifier() {
        assertTrue(decide(Set.of(LOWER), endedHistories(SAME_ZONE), ObservationHistory.CONFIRMATION_TIME)
                .isEmpty());
        Duration later = ObservationHistory.CONFIRMATION_TIME.plus(MemberRemoval.RANK_DELAY);
        assertEquals(1, decide(Set.of(LOWER), endedHistories(SAME_ZONE), later).size());
    }

    @Test
    void leavesRemovalToReachableMemberOfOtherZone() {
        assertTrue(decide(Set.of(SECOND_OTHER_ZONE), endedHistories(OTHER_ZONE), Duration.ofDays(1))
                .isEmpty());
    }

    @Test
    void removesMemberOfUnreachableZoneAfterLongerDelay() {
        assertTrue(decide(Set.of(), endedHistories(OTHER_ZONE), ObservationHistory.CONFIRMATION_TIME)
                .isEmpty());
        Duration longerDelay = ObservationHistory.CONFIRMATION_TIME.plus(MemberRemoval.OTHER_ZONE_DELAY);
        assertEquals(
                1, decide(Set.of(), endedHistories(OTHER_ZONE), longerDelay).size());
    }

    private static List<MembershipCommand.Leave> decide(
            Set<ProcessIdentifier> reachable, Map<ProcessIdentifier, ObservationHistory> histories, Duration now) {
        return MemberRemoval.decide(STATE, SELF, reachable, histories, now.toNanos());
    }

    private static Map<ProcessIdentifier, ObservationHistory> endedHistories(ProcessIdentifier process) {
        return Map.of(process, new ObservationHistory(PeerObservation.ENDED, 3, 0));
    }

    private static SharedState state() {
        SharedState state = SharedState.empty();
        for (Member member : List.of(
                member(LOWER, 1, "east"),
                member(SELF, 2, "east"),
                member(SAME_ZONE, 3, "east"),
                member(OTHER_ZONE, 4, "west"),
                member(SECOND_OTHER_ZONE, 5, "west"))) {
            state = state.withMembers(state.members().plus(member.process(), member));
        }
        return state;
    }

    private static Member member(ProcessIdentifier process, long version, String zone) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", (int) version);
        return new Member(process, version, new ZoneName(zone), address, Optional.empty());
    }
}
