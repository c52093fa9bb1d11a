package org.cicadalead.logic.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.bench.requests.SyntheticFleet;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.RequestIdentifier;
import org.cicadalead.model.request.AttemptOutcome;
import org.cicadalead.model.request.RequestTerms;
import org.junit.jupiter.api.Test;

class ServiceDispatcherTest {
    private final Map<HostName, HostRuntime> runtimes = new HashMap<>();
    private final List<String> chosen = new ArrayList<>();
    private final List<HostName> hosts = new ArrayList<>();
    private final List<ErrorKind> rejected = new ArrayList<>();
    private final ServiceDispatcher<String> dispatcher = new ServiceDispatcher<>(
            (item, host) -> {
                chosen.add(item);
                hosts.add(host.state().name());
            },
            rejection -> rejected.add(rejection.kind()));

    @Test
    void reservesSlotsForShortWork() {
        ServiceRoute route = route(1, 8);
        for (int count = 0; count < 20; count++) {
            submit("long", true, route);
        }
        submit("short", false, route);
        assertEquals(6, chosen.stream().filter("long"::equals).count());
        assertTrue(chosen.contains("short"));
    }

    @Test
    void reservesSlotsForLongWorkWhileShortWorkWaits() {
        ServiceRoute route = route(1, 8);
        for (int count = 0; count < 20; count++) {
            submit("short", false, route);
        }
        submit("long", true, route);
        runtimes.get(SyntheticFleet.host(0)).slots().release();
        dispatcher.dispatch(route, 0);
        assertTrue(chosen.contains("long"));
    }

    @Test
    void prefersOwnZone() {
        ServiceRoute route = route(2, 2);
        submit("a", false, route);
        submit("b", false, route);
        assertEquals(List.of(SyntheticFleet.host(0), SyntheticFleet.host(0)), hosts);
        submit("c", false, route);
        assertEquals(SyntheticFleet.host(1), hosts.get(2));
    }

    @Test
    void sendsNothingToEjectedWorker() {
        ServiceRoute route = route(4, 8);
        for (int count = 0; count < 5; count++) {
            runtimes.get(SyntheticFleet.host(0)).recordOutcome(AttemptOutcome.ANSWERED_WITH_ERROR, route.canEject(), 0);
        }
        for (int count = 0; count < 20; count++) {
            submit("work", false, route);
        }
        assertFalse(hosts.contains(SyntheticFleet.host(0)));
    }

    @Test
    void avoidsHostWithOutdatedView() {
        ServiceRoute route = route(4, 8);
        runtimes.get(SyntheticFleet.host(0)).recordOutcome(AttemptOutcome.VIEW_OUT_OF_DATE, route.canEject(), 0);
        for (int count = 0; count < 20; count++) {
            submit("work", false, route);
        }
        assertFalse(hosts.contains(SyntheticFleet.host(0)));
    }

    @Test
    void ejectionsRespectAvailabilityBudget() {
        ServiceRoute route = route(4, 8);
        for (int host = 0; host < 4; host++) {
            for (int count = 0; count < 9; count++) {
                runtimes.get(SyntheticFleet.host(host))
                        .recordOutcome(AttemptOutcome.ANSWERED_WITH_ERROR, route.canEject(), 0);
            }
        }
        assertEquals(16, route.usableSlots(1));
    }

    @Test
    void rejectsWaitingRequestsAfterNoSlotsTimeout() {
        ServiceRoute route = route(1, 0);
        submit("waiting", false, route);
        dispatcher.rejectOverdue(route, 0);
        assertEquals(List.of(), rejected);
        dispatcher.rejectOverdue(route, ServiceDispatcher.NO_SLOTS_TIMEOUT.toNanos());
        assertEquals(List.of(ErrorKind.NO_UPSTREAM), rejected);
    }

    private void submit(String item, boolean isLong, ServiceRoute route) {
        RequestTerms terms = new RequestTerms(
                new RequestIdentifier("request"),
                SyntheticFleet.service(0),
                SyntheticFleet.team(0),
                RequestTerms.DEFAULT_URGENCY,
                true,
                0,
                Duration.ofSeconds(30).toNanos());
        dispatcher.submit(terms, item, isLong, 1, route, 0);
    }

    private ServiceRoute route(int hostCount, int slots) {
        return RoutingIndex.of(
                        new SyntheticFleet(2, 1, hostCount, 1, Duration.ofSeconds(30), 100).state(),
                        SyntheticFleet.zone(0),
                        host -> runtimes.computeIfAbsent(host, name -> {
                            HostRuntime runtime = new HostRuntime(name);
                            runtime.slots().setOwned(slots);
                            return runtime;
                        }))
                .findRoute(SyntheticFleet.service(0))
                .orElseThrow();
    }
}
