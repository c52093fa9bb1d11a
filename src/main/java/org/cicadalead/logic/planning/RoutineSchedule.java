package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveChange;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.model.state.WaveState;

/**
 * Plans one routine maintenance wave over the whole fleet in each period, spread over the period. The wave's identifier
 * contains the number of the period, so that only one wave starts although several processes propose it. Each host is
 * maintained at about the same point of each period. Every host is due within five weeks; the period is one week
 * shorter, which leaves time for hosts that had to wait. Stateless; safe for use by several threads.
 */
public final class RoutineSchedule {
    /** Length of a period, in milliseconds. */
    public static final long PERIOD_MILLISECONDS = 28L * 24 * 60 * 60 * 1_000;

    /**
     * Start times are rounded down to a multiple of this, in milliseconds, so that all processes propose the same
     * command.
     */
    private static final long START_GRANULARITY_MILLISECONDS = 10 * 60_000L;

    private static final String WAVE_PREFIX = "routine-";
    private static final int MAX_FAILURES = 2;

    private RoutineSchedule() {}

    /**
     * Plans the start of the next wave once the period of the newest one is over, and the abort of the newest one if it
     * still runs.
     */
    public static List<Decision> plan(SharedState state, long nowMilliseconds) {
        if (state.hosts().isEmpty()) {
            return List.of();
        }
        Optional<WaveState> newest = findNewestWave(state);
        if (newest.isPresent() && nowMilliseconds < newest.get().startedMilliseconds() + PERIOD_MILLISECONDS) {
            return List.of();
        }
        List<Decision> decisions = new ArrayList<>();
        long started = nowMilliseconds - nowMilliseconds % START_GRANULARITY_MILLISECONDS;
        decisions.add(createStart(newest.map(RoutineSchedule::periodNumberOf).orElse(0L) + 1, started));
        newest.filter(wave -> !wave.phase().isTerminal()).ifPresent(wave -> decisions.add(createAbort(wave)));
        return decisions;
    }

    private static Decision createStart(long number, long startedMilliseconds) {
        MaintenanceCommand.Start start = new MaintenanceCommand.Start(
                new WaveIdentifier(WAVE_PREFIX + number),
                WaveSelection.ofWholeFleet(),
                WaveAction.REBOOT,
                "routine maintenance",
                startedMilliseconds,
                PERIOD_MILLISECONDS,
                MAX_FAILURES);
        return Decision.toAppend(start, EventKind.WAVE_STARTED, start.wave(), EventDetail.of("reason", start.reason()));
    }

    private static Decision createAbort(WaveState wave) {
        return Decision.toAppend(
                new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.ABORT),
                EventKind.WAVE_CHANGED,
                wave.wave(),
                EventDetail.of("change", WaveChange.ABORT),
                EventDetail.of("reason", "the next period has begun"));
    }

    private static Optional<WaveState> findNewestWave(SharedState state) {
        return state.waves().values().stream()
                .filter(wave -> wave.wave().value().matches(WAVE_PREFIX + "[0-9]{1,9}"))
                .max(Comparator.comparingLong(RoutineSchedule::periodNumberOf));
    }

    private static long periodNumberOf(WaveState wave) {
        return Long.parseLong(wave.wave().value().substring(WAVE_PREFIX.length()));
    }
}
