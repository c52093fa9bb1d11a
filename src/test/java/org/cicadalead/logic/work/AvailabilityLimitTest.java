package org.cicadalead.logic.work;

import static org.cicadalead.logic.work.WorkFixtures.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.HostEntry;
import org.junit.jupiter.api.Test;

class AvailabilityLimitTest {
    private static final List<HostEntry> HOSTS = List.of(
            WorkFixtures.host("first", WorkFixtures.BUSY, "rack-1"),
            WorkFixtures.host("second", WorkFixtures.BUSY, "rack-2"),
            WorkFixtures.host("third", WorkFixtures.BUSY, "rack-3"));

    private final WorkScheduler scheduler = WorkFixtures.scheduler(HOSTS.toArray(HostEntry[]::new));

    private void reply(String host, List<WorkOrder.Start> starts, long now) {
        List<ActiveRun> active = starts.stream()
                .filter(start -> start.target().host().equals(host))
                .map(start -> new ActiveRun(start.run(), "", WorkRun.FULL_SPEED_PERCENT, 0))
                .toList();
        WorkFixtures.replyToPoll(scheduler, host, now, active, List.of());
    }

    @Test
    void stopsNoTaskOfStepWhoseOtherTasksAreOnHostThatDoesNotReply() {
        scheduler.addJob(WorkFixtures.job("job", WorkFixtures.BUSY, 0, WorkFixtures.longRunningStep(4, 1)), at(1));
        List<WorkOrder.Start> starts = WorkFixtures.startsIn(WorkFixtures.decide(scheduler, at(1), 0));
        WorkFixtures.confirmStarts(scheduler, starts, 10);
        List<String> used =
                starts.stream().map(start -> start.target().host()).distinct().toList();
        assertEquals(2, used.size());
        long now = 20 + WorkHost.UNREACHABLE_AFTER_MILLISECONDS;
        HOSTS.stream()
                .map(HostEntry::identifier)
                .filter(host -> !host.equals(used.get(1)))
                .forEach(host -> reply(host, starts, now));
        MachineView view = scheduler.createMachineView();
        view.setCordoned(used.get(0), true);
        view.evacuateOneTask(used.get(0), now);
        assertTrue(scheduler.decide(at(now + 1), 0).stream().noneMatch(WorkOrder.Stop.class::isInstance));
    }
}
