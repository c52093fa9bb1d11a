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

class FoldTotalityTest {
    private static final int COMMANDS_PER_RUN = 60;
    private static final SharedState INITIAL_STATE = createInitialState();
    private static final List<String> TEXTS = collectTexts();

    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final SnapshotCodec snapshots = new SnapshotCodec();

    @Property(tries = 300, seed = "7261525302110914153")
    void foldsRandomCommandsWithoutInternalError(@ForAll long seed) {
        RandomRecords records = new RandomRecords(new Random(seed), TEXTS);
        SharedState state = INITIAL_STATE;
        for (int index = 0; index < COMMANDS_PER_RUN; index++) {
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
    void decodesEveryEncodedCommand(@ForAll long seed) {
        RandomRecords records = new RandomRecords(new Random(seed), TEXTS);
        Optional<CommandEnvelope> envelope = envelope("c", 1, records.create(Command.class));
        byte[] encoded = codec.encode(envelope.orElseThrow());
        assertEquals(
                java.util.HexFormat.of().formatHex(encoded),
                codec.decode(encoded)
                        .map(decoded -> java.util.HexFormat.of().formatHex(codec.encode(decoded)))
                        .orElse("not decoded"));
    }

    private static SharedState createInitialState() {
        List<UnitChange> changes = ExampleDeployment.load("blue-mountain").units().stream()
                .map(unit -> new UnitChange(unit.fileName(), 0, Optional.of(unit)))
                .toList();
        return SharedStateFold.apply(SharedState.empty(), 1, envelope("first", 0, new Publish(changes)))
                .state();
    }

    private static List<String> collectTexts() {
        List<String> texts = new ArrayList<>(List.of("a", "b", "127.0.0.1", "00-deployment.toml"));
        INITIAL_STATE.hosts().keySet().stream().limit(4).map(Identifier::value).forEach(texts::add);
        INITIAL_STATE.configuration().merged().pools().keySet().stream()
                .map(Identifier::value)
                .forEach(texts::add);
        INITIAL_STATE.configuration().merged().teams().keySet().stream()
                .limit(2)
                .map(Identifier::value)
                .forEach(texts::add);
        return texts;
    }
}
