package org.cicadalead.adapters.codec;

import static org.cicadalead.support.Commands.envelope;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.CheckpointCommand;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.support.JobFleet;
import org.junit.jupiter.api.Test;

class SnapshotCodecTest {
    private final SnapshotCodec codec = new SnapshotCodec();

    @Test
    void decodesEncodedState() {
        SharedState state = createExampleState();
        assertEquals(Optional.of(state), codec.decode(codec.encode(state)));
    }

    @Test
    void decodesLongJobs() {
        JobFleet fleet = new JobFleet(2);
        for (int job = 1; job <= 3; job++) {
            fleet.submit(JobFleet.createSubmission(job, false));
            fleet.place(job, 0);
        }
        fleet.report(1, 1, JobReportKind.FAILED);
        fleet.report(2, 1, JobReportKind.FINISHED);
        assertEquals(Optional.of(fleet.state()), codec.decode(codec.encode(fleet.state())));
    }

    @Test
    void encodesEqualStatesToEqualBytes() {
        assertArrayEquals(codec.encode(createExampleState()), codec.encode(createExampleState()));
    }

    @Test
    void computesDifferentDigestsForDifferentStates() {
        SharedState state = createExampleState();
        assertNotEquals(
                SnapshotCodec.digest(codec.encode(state)),
                SnapshotCodec.digest(codec.encode(state.withOffset(state.offset() + 1))));
    }

    @Test
    void rejectsTruncatedSnapshot() {
        byte[] encoded = codec.encode(createExampleState());
        assertTrue(codec.decode(Arrays.copyOf(encoded, encoded.length - 1)).isEmpty());
    }

    private static SharedState createExampleState() {
        List<UnitChange> changes = ExampleDeployment.load("blue-mountain").units().stream()
                .map(unit -> new UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        SharedState state = SharedStateFold.apply(SharedState.empty(), 1, envelope("a", 0, new Publish(changes)))
                .state();
        return SharedStateFold.apply(state, 2, envelope("b", 1, new CheckpointCommand.Begin(0, 5)))
                .state();
    }
}
