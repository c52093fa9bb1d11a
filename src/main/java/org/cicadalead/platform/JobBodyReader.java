package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.model.work.WorkSubmission;

/** Reads the bodies of callers' jobs. Stateless; safe for use by several threads. */
final class JobBodyReader {
    /** Longest text of what a job runs. */
    private static final int MAX_PAYLOAD_CHARACTERS = 4_000;

    /** Most tasks of a step; far beyond what any deployment's pool can hold, and bounds the memory for one job. */
    private static final int MAX_TASKS_PER_STEP = 10_000;

    private JobBodyReader() {}

    /** Returns the job in a body; empty when it is malformed. */
    static Optional<WorkSubmission> read(String job, WorkQueue queue, byte[] bytes, long receivedMilliseconds) {
        JsonNode body = PlatformHttpClient.decode(bytes);
        JsonNode payload = body.path("spec");
        JsonNode rows = body.path("jobSteps");
        if (!payload.isTextual()
                || payload.asText().length() > MAX_PAYLOAD_CHARACTERS
                || !rows.isArray()
                || rows.isEmpty()) {
            return Optional.empty();
        }
        List<StepSpecification> steps = new ArrayList<>();
        for (JsonNode row : rows) {
            StepSpecification step = parseStep(row);
            boolean forward = step.dependsOn().stream().anyMatch(number -> number < 0 || number >= steps.size());
            if (forward || step.taskCount() < 1 || step.taskCount() > MAX_TASKS_PER_STEP) {
                return Optional.empty();
            }
            steps.add(step);
        }
        return Optional.of(new WorkSubmission(
                job,
                queue.name(),
                queue.service(),
                queue.terms(),
                payload.asText(),
                steps,
                body.path("repeatCount").asInt(),
                body.path("startAtMs").asLong(),
                body.path("intervalMs").asLong(),
                receivedMilliseconds));
    }

    private static StepSpecification parseStep(JsonNode row) {
        List<Integer> dependsOn = new ArrayList<>();
        row.path("dependsOn").forEach(number -> dependsOn.add(number.asInt()));
        return new StepSpecification(
                row.path("count").asInt(1),
                row.path("cpu").asLong(),
                row.path("memMb").asLong(),
                row.path("gpu").asLong(),
                row.path("estimatedMs").asLong(),
                dependsOn,
                row.path("checkpointing").asBoolean(),
                row.path("gang").asBoolean(),
                row.path("sameRack").asBoolean(),
                parseOptionalText(row.path("requiredLabel")),
                parseOptionalText(row.path("affinity")),
                row.path("maxPerServer").asInt(),
                row.path("speculative").asBoolean(),
                row.path("longRunning").asBoolean(),
                parseOptionalText(row.path("image")),
                row.path("targetMs").asLong(),
                // The name suggests a number; it says that the step's processors are not counted against a host's room.
                row.path("fillCount").asBoolean() || row.path("fillCount").asInt() > 0,
                row.path("maxUnavailable").asInt());
    }

    private static Optional<String> parseOptionalText(JsonNode value) {
        return Optional.of(value.asText("")).filter(text -> !text.isEmpty());
    }
}
