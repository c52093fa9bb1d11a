package org.cicadalead.model.work;

import java.util.Optional;

/**
 * Identifies one task of a job. Immutable.
 *
 * @param job identifier of the job
 * @param occurrence number of the repetition, 0 for a job that runs once
 * @param step number of the step
 * @param index number of the task within its step
 */
public record TaskKey(String job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /** Parses the text form; empty when the text is not a valid key. */
    public static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskKey(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException malformedNumber) {
            return Optional.empty();
        }
    }

    /** Returns the step of the task in text form. */
    public String stepText() {
        return job + "." + occurrence + "." + step;
    }

    @Override
    public String toString() {
        return stepText() + "." + index;
    }
}
