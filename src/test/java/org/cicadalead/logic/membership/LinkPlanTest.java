package org.cicadalead.logic.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LinkPlanTest {
    private static final ZoneName EAST = new ZoneName("east");
    private static final ZoneName WEST = new ZoneName("west");

    @Test
    void linksAllMembersInSmallZone() {
        assertEquals(
                8,
                LinkPlan.choose(process(0), EAST, createCandidates(EAST, 1, 9))
                        .ownZone()
                        .size());
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 20, 100})
    void linksRingNeighboursOnBothSidesInLargeZone(int count) {
        for (int number = 0; number < count; number++) {
            for (ProcessIdentifier peer : chooseLinks(number, count)) {
                int peerNumber = Integer.parseInt(peer.value().substring("process-".length())) - 1_000;
                assertTrue(chooseLinks(peerNumber, count).contains(process(number)));
            }
            assertEquals(
                    2 * LinkPlan.NEIGHBOURS_EACH_SIDE,
                    chooseLinks(number, count).size());
        }
    }

    @Test
    void linksOneReachablePeerOfOtherZone() {
        List<LinkPlan.Candidate> candidates = new ArrayList<>(createCandidates(WEST, 1, 6));
        candidates.add(new LinkPlan.Candidate(process(50), WEST, true));
        LinkPlan plan = LinkPlan.choose(process(0), EAST, candidates);
        assertEquals(List.of(process(50)), List.copyOf(plan.otherZones()));
    }

    private static List<ProcessIdentifier> chooseLinks(int number, int count) {
        List<LinkPlan.Candidate> others = createCandidates(EAST, 0, count).stream()
                .filter(candidate -> !candidate.process().equals(process(number)))
                .toList();
        return List.copyOf(LinkPlan.choose(process(number), EAST, others).ownZone());
    }

    private static List<LinkPlan.Candidate> createCandidates(ZoneName zone, int from, int to) {
        List<LinkPlan.Candidate> candidates = new ArrayList<>();
        for (int number = from; number < to; number++) {
            candidates.add(new LinkPlan.Candidate(process(number), zone, false));
        }
        return candidates;
    }

    private static ProcessIdentifier process(int number) {
        return new ProcessIdentifier("process-" + (1_000 + number));
    }
}
