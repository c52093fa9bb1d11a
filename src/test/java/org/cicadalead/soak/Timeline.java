package org.cicadalead.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What a run did, in a file with the times of the processes' own logs, and its unplanned disruptions. Safe for use by
 * several threads.
 */
final class Timeline {
    private final long startedAtNanoseconds = System.nanoTime();
    private final Instant startedAt = Instant.now();
    private final Path file;
    private final List<Disruption> disruptions = new ArrayList<>();

    /** An unplanned disruption; one that goes on ends at the greatest time. */
    private record Disruption(long beginsAt, long endsAt) {}

    Timeline(Path file) {
        this.file = file;
    }

    synchronized void record(String event) {
        try {
            Files.writeString(
                    file,
                    wallClock(System.nanoTime()) + " " + event + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the time of day at a monotonic time. */
    Instant wallClock(long nanoseconds) {
        return startedAt.plusNanos(nanoseconds - startedAtNanoseconds);
    }

    /** Records an unplanned disruption that begins now. */
    synchronized void disrupt(String event, long durationMilliseconds) {
        long now = System.nanoTime();
        disruptions.add(new Disruption(now, now + TimeUnit.MILLISECONDS.toNanos(durationMilliseconds)));
        record(event);
    }

    /** Returns whether an unplanned disruption touches a time, given by its monotonic begin and end. */
    synchronized boolean isDisrupted(long beginsAt, long endsAt) {
        return disruptions.stream()
                .anyMatch(disruption -> disruption.beginsAt() - endsAt <= 0 && disruption.endsAt() - beginsAt >= 0);
    }
}
