package org.cicadalead.logic.planning;

import java.util.ArrayList;
import java.util.List;
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
 * Starts one routine wave over the fleet in each period, spread over the period. Its identifier is the period's number,
 * so that several processes start it once. A host's turn comes at about the same point of each period, and the period
 * is a week shorter than the five weeks within which every host is due, for hosts that had to wait. Stateless; safe for
 * use by several threads.
 */
public final class RoutineSchedule {
    /** Length of a period in milliseconds. */
    public static final long PERIOD_MILLISECONDS = 28L * 24 * 60 * 60 * 1_000;

    private static final String PREFIX = "routine-";
    private static final int MAXIMUM_FAILURES = 2;

    private RoutineSchedule() {}

    /** Plans the start of the present period's wave and the end of earlier ones. */
    public static List<Decision> plan(SharedState state, long nowMilliseconds) {
        long period = nowMilliseconds / PERIOD_MILLISECONDS;
        WaveIdentifier current = new WaveIdentifier(PREFIX + period);
        List<Decision> decisions = new ArrayList<>();
        if (state.hosts().isEmpty()) {
            return decisions;
        }
        if (!state.waves().containsKey(current)) {
            MaintenanceCommand.Start start = new MaintenanceCommand.Start(
                    current,
                    WaveSelection.everything(),
                    WaveAction.REBOOT,
                    "routine maintenance",
                    period * PERIOD_MILLISECONDS,
                    PERIOD_MILLISECONDS,
                    MAXIMUM_FAILURES);
            decisions.add(
                    Decision.append(start, EventKind.WAVE_STARTED, current, EventDetail.of("reason", start.reason())));
        }
        for (WaveState wave : state.waves().values()) {
            boolean earlier = wave.wave().value().startsWith(PREFIX)
                    && !wave.wave().equals(current)
                    && !wave.phase().isTerminal();
            if (earlier) {
                decisions.add(Decision.append(
                        new MaintenanceCommand.Change(wave.wave(), wave.version(), WaveChange.ABORT),
                        EventKind.WAVE_CHANGED,
                        wave.wave(),
                        EventDetail.of("change", WaveChange.ABORT),
                        EventDetail.of("reason", "the next period has begun")));
            }
        }
        return decisions;
    }
}
