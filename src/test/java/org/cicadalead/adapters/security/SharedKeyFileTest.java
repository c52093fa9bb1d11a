package org.cicadalead.adapters.security;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SharedKeyFileTest {
    private static final String OLD_KEY = "0123456789abcdef0123456789abcdef";
    private static final String NEW_KEY = "fedcba9876543210fedcba9876543210";

    @TempDir
    private Path folder;

    private final ManualTimerService timers = new ManualTimerService();
    private final List<EventKind> events = new ArrayList<>();
    private Path file;

    @BeforeEach
    void writeFile() throws IOException {
        file = folder.resolve("keys");
        Files.writeString(file, "# in force since spring\n" + OLD_KEY + "\n");
    }

    @Test
    void reloadsAddedKeyWithoutRestart() throws IOException {
        try (SharedKeyFile keyFile = open()) {
            Files.writeString(file, NEW_KEY + "\n" + OLD_KEY + "\n");
            timers.advance(SharedKeyFile.RELOAD_INTERVAL);
            assertEquals(
                    SharedKeys.of(List.of(NEW_KEY, OLD_KEY)).keys(),
                    keyFile.keys().keys());
            assertEquals(List.of(EventKind.KEYS_CHANGED), events);
        }
    }

    @Test
    void keepsLastValidKeysWhenFileIsUnusable() throws IOException {
        try (SharedKeyFile keyFile = open()) {
            Files.writeString(file, "short");
            timers.advance(SharedKeyFile.RELOAD_INTERVAL.multipliedBy(3));
            assertEquals(SharedKeys.of(List.of(OLD_KEY)).keys(), keyFile.keys().keys());
            assertEquals(List.of(EventKind.KEYS_UNUSABLE), events);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "tooshort", OLD_KEY + "\n" + NEW_KEY + "\n" + OLD_KEY + "x\n"})
    void rejectsInvalidFileWithoutRevealingKeys(String content) throws IOException {
        Files.writeString(file, content);
        CicadaleadException failure = assertThrows(CicadaleadException.class, () -> SharedKeyFile.read(file));
        assertEquals(ErrorKind.INVALID_SETTINGS, failure.kind());
        assertFalse(failure.getMessage().contains(OLD_KEY));
        assertFalse(failure.getMessage().contains("tooshort"));
    }

    private SharedKeyFile open() {
        SharedKeyFile keyFile = new SharedKeyFile(Optional.of(file), (kind, cause, details) -> events.add(kind));
        keyFile.start(timers);
        return keyFile;
    }
}
