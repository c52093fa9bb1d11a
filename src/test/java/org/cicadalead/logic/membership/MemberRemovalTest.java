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
    private static final ProcessIdentifier NEAR = new ProcessIdentifier("c-near");
    private static final ProcessIdentifier FAR = new ProcessIdentifier("d-far");
    private static final ProcessIdentifier FAR_TOO = new ProcessIdentifier("e-far-too");
    private static final SharedState STATE = state();

    @Test
    void removesAnEndedMemberOfItsZoneWithTheVersionThatItRead() {
        List<MembershipCommand.Leave> removals = decide(Set.of(), ended(NEAR), EvidenceHistory.LASTING);
        assertEquals(List.of(new MembershipCommand.Leave(NEAR, 3)), removals);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ENDED")
    void neverRemovesOnOtherEvidence(PeerEvidence evidence) {
        Map<ProcessIdentifier, EvidenceHistory> histories = Map.of(NEAR, new EvidenceHistory(evidence, 1_000, 0));
        assertTrue(decide(Set.of(), histories, Duration.ofDays(1)).isEmpty());
    }

    @Test
    void waitsUntilTheEvidenceLasts() {
        Duration early = EvidenceHistory.LASTING.minusNanos(1);
        assertTrue(decide(Set.of(), ended(NEAR), early).isEmpty());
    }

    @Test
    void letsAMemberWithALowerIdentifierGoFirst() {
        assertTrue(decide(Set.of(LOWER), ended(NEAR), EvidenceHistory.LASTING).isEmpty());
        Duration later = EvidenceHistory.LASTING.plus(MemberRemoval.RANK_DELAY);
        assertEquals(1, decide(Set.of(LOWER), ended(NEAR), later).size());
    }

    @Test
    void leavesAMemberOfAnotherZoneToThatZone() {
        assertTrue(decide(Set.of(FAR_TOO), ended(FAR), Duration.ofDays(1)).isEmpty());
    }

    @Test
    void removesAMemberOfAZoneOfWhichNobodyIsHeardAfterALongerTime() {
        assertTrue(decide(Set.of(), ended(FAR), EvidenceHistory.LASTING).isEmpty());
        Duration longer = EvidenceHistory.LASTING.plus(MemberRemoval.OTHER_ZONE_DELAY);
        assertEquals(1, decide(Set.of(), ended(FAR), longer).size());
    }

    private static List<MembershipCommand.Leave> decide(
            Set<ProcessIdentifier> heard, Map<ProcessIdentifier, EvidenceHistory> histories, Duration now) {
        return MemberRemoval.decide(STATE, SELF, heard, histories, now.toNanos());
    }

    private static Map<ProcessIdentifier, EvidenceHistory> ended(ProcessIdentifier process) {
        return Map.of(process, new EvidenceHistory(PeerEvidence.ENDED, 3, 0));
    }

    private static SharedState state() {
        SharedState state = SharedState.empty();
        for (Member member : List.of(
                member(LOWER, 1, "east"),
                member(SELF, 2, "east"),
                member(NEAR, 3, "east"),
                member(FAR, 4, "west"),
                member(FAR_TOO, 5, "west"))) {
            state = state.withMembers(state.members().plus(member.process(), member));
        }
        return state;
    }

    private static Member member(ProcessIdentifier process, long version, String zone) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", (int) version);
        return new Member(process, version, new ZoneName(zone), address, Optional.empty());
    }
}
