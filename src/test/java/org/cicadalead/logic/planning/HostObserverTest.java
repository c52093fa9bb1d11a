package org.cicadalead.logic.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cicadalead.logic.planning.HostObserver.Observation;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.support.PlannedFleet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HostObserverTest {
    private static final HostName HOST = new HostName("routes-0");

    private final PlannedFleet fleet = PlannedFleet.withFirstMeasure("buffer-cost");
    private final Map<HostName, HostHealth> listed = new HashMap<>();

    @BeforeEach
    void listAllHosts() {
        fleet.publishPool("routes", 5, 2, "a", "b", "c", "d", "e");
        fleet.state().hosts().keySet().forEach(host -> listed.put(host, HostHealth.UP));
    }

    @Test
    void observesLeavingHostAtFirstList() {
        listed.put(HOST, HostHealth.LEAVING);

        Observation observation = observe(HostObserver.initial(), Set.of());

        assertEquals(
                HostHealth.LEAVING,
                observation.command().orElseThrow().observations().get(0).health());
        assertEquals(Set.of(HOST), observation.leaving());
    }

    @Test
    void suspectsMissingHostAtFirstListAndObservesItAtSecond() {
        listed.remove(HOST);

        Observation first = observe(HostObserver.initial(), Set.of());
        Observation second = observe(first.nextObserver(), Set.of());

        assertEquals(Set.of(HOST), first.suspects());
        assertTrue(first.command().isEmpty());
        assertEquals(1, second.command().orElseThrow().observations().size());
    }

    @Test
    void observesMissingHostAtFirstListWhenRequestsFailLocally() {
        listed.remove(HOST);

        assertTrue(observe(HostObserver.initial(), Set.of(HOST)).command().isPresent());
    }

    @Test
    void recordsSeveralObservationsInOneCommand() {
        listed.remove(HOST);
        listed.remove(new HostName("routes-1"));

        Observation second = observe(observe(HostObserver.initial(), Set.of()).nextObserver(), Set.of());

        assertEquals(2, second.command().orElseThrow().observations().size());
    }

    @Test
    void observesNoFailureWhenListMissesMostHosts() {
        listed.clear();

        Observation second = observe(observe(HostObserver.initial(), Set.of()).nextObserver(), Set.of());

        assertTrue(second.command().isEmpty());
        assertEquals(5, second.suspects().size());
    }

    @Test
    void ignoresHostThatFlapsBetweenLists() {
        listed.remove(HOST);
        Observation missing = observe(HostObserver.initial(), Set.of());
        listed.put(HOST, HostHealth.UP);
        Observation back = observe(missing.nextObserver(), Set.of());
        listed.remove(HOST);

        assertTrue(observe(back.nextObserver(), Set.of()).command().isEmpty());
    }

    private Observation observe(HostObserver observer, Set<HostName> failingHere) {
        return observer.observe(fleet.state(), listed, failingHere);
    }
}
