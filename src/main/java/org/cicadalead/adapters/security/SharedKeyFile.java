package org.cicadalead.adapters.security;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.TimerService;

/**
 * Reads the file of shared keys, which has one key on each line, and reloads it periodically so that keys can be
 * rotated without a restart. While the file is unusable, the last valid keys stay in force. Thread-safe.
 */
public final class SharedKeyFile implements AutoCloseable {
    /** Interval at which the file is read again. */
    public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

    private static final int MIN_KEY_CHARACTERS = 32;
    private static final int MAX_KEYS = 2;

    private final Optional<Path> file;
    private final EventSink events;
    private final List<TimerService.Subscription> subscriptions = new CopyOnWriteArrayList<>();
    private volatile SharedKeys keys;
    private volatile boolean isFileUsable = true;

    /** Reads the file, if one is given; throws with kind {@code INVALID_SETTINGS} when it is unusable. */
    public SharedKeyFile(Optional<Path> file, EventSink events) {
        this.file = file;
        this.events = events;
        this.keys = file.map(SharedKeyFile::read).orElseGet(SharedKeys::none);
    }

    /** Starts the periodic reload of the file, if one is given. */
    public void start(TimerService timers) {
        file.ifPresent(path -> subscriptions.add(timers.every(RELOAD_INTERVAL, () -> reload(path))));
    }

    /** Returns the keys in force. */
    public SharedKeys keys() {
        return keys;
    }

    @Override
    public void close() {
        subscriptions.forEach(TimerService.Subscription::close);
    }

    /**
     * Reads a key file; throws with kind {@code INVALID_SETTINGS} when it is unusable. Neither the exception nor its
     * cause reveals any content of the file.
     */
    public static SharedKeys read(Path file) {
        List<String> lines;
        try {
            lines = Files.readAllLines(file).stream()
                    .map(String::strip)
                    .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                    .toList();
        } catch (IOException failure) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS, "The key file '" + file + "' cannot be read as text");
        }
        if (lines.isEmpty() || lines.size() > MAX_KEYS) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    "The key file '" + file + "' holds " + lines.size()
                            + " keys; write one on a line, and two only while keys are rotated");
        }
        if (lines.stream().anyMatch(line -> line.length() < MIN_KEY_CHARACTERS)) {
            throw new CicadaleadException(
                    ErrorKind.INVALID_SETTINGS,
                    "A key in '" + file + "' is shorter than " + MIN_KEY_CHARACTERS
                            + " characters; 'openssl rand -hex 32' makes a good one");
        }
        return SharedKeys.of(lines);
    }

    private void reload(Path path) {
        try {
            SharedKeys newKeys = read(path);
            isFileUsable = true;
            if (!newKeys.keys().equals(keys.keys())) {
                keys = newKeys;
                events.emit(
                        EventKind.KEYS_CHANGED,
                        Optional.empty(),
                        EventDetail.of("count", newKeys.keys().size()));
            }
        } catch (CicadaleadException failure) {
            if (isFileUsable) {
                isFileUsable = false;
                events.emit(EventKind.KEYS_UNUSABLE, Optional.empty(), EventDetail.of("failure", failure.getMessage()));
            }
        }
    }
}
