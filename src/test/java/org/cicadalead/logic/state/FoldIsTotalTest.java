package org.cicadalead.logic.state;

import static org.cicadalead.support.Commands.envelope;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.codec.SnapshotCodec;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.Identifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.support.RandomRecords;

class FoldIsTotalTest {
    private static final int COMMANDS = 60;
    private static final SharedState BEGIN = begin();
    private static final List<String> TEXTS = texts();

    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final SnapshotCodec snapshots = new SnapshotCodec();

    @Property(tries = 300, seed = "7261525302110914153")
    void noCommandWithNonsenseInItFailsUnexpectedly(@ForAll long seed) {
        RandomRecords records = new RandomRecords(new Random(seed), TEXTS);
        SharedState state = BEGIN;
        for (int count = 0; count < COMMANDS; count++) {
            Command command = records.create(Command.class);
            long offset = state.offset() + 1;
            FoldResult result = SharedStateFold.apply(state, offset, envelope("c" + offset, state.offset(), command));
            if (result.outcome() instanceof CommandOutcome.Rejected rejected) {
                assertNotEquals(ErrorKind.INTERNAL, rejected.kind(), () -> rejected.detail() + ": " + command);
            }
            state = result.state();
        }
        assertEquals(Optional.of(state), snapshots.decode(snapshots.encode(state)));
    }

    @Property(tries = 300, seed = "-188372617355118230")
    void everyCommandIsReadBackAsItWasWritten(@ForAll long seed) {
        RandomRecords records = new RandomRecords(new Random(seed), TEXTS);
        Optional<CommandEnvelope> written = envelope("c", 1, records.create(Command.class));
        byte[] encoded = codec.encode(written.orElseThrow());
        assertEquals(
                java.util.HexFormat.of().formatHex(encoded),
                codec.decode(encoded)
                        .map(read -> java.util.HexFormat.of().formatHex(codec.encode(read)))
                        .orElse("not decoded"));
    }

    private static SharedState begin() {
        List<UnitChange> changes = ExampleDeployment.load("blue-mountain").units().stream()
                .map(unit -> new UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        return SharedStateFold.apply(SharedState.empty(), 1, envelope("first", 0, new Publish(changes)))
                .state();
    }

    private static List<String> texts() {
        List<String> texts = new ArrayList<>(List.of("a", "b", "127.0.0.1", "00-deployment.toml"));
        BEGIN.hosts().keySet().stream().limit(4).map(Identifier::value).forEach(texts::add);
        BEGIN.configuration().merged().pools().keySet().stream()
                .map(Identifier::value)
                .forEach(texts::add);
        BEGIN.configuration().merged().teams().keySet().stream()
                .limit(2)
                .map(Identifier::value)
                .forEach(texts::add);
        return texts;
    }
}
