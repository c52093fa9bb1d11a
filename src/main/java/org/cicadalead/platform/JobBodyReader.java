package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.model.work.WorkSubmission;

/** Reads the request bodies of jobs that callers submit. Stateless; safe for use by several threads. */
final class JobBodyReader {
    /** Maximum length of the text that describes what a job runs, in characters. */
    private static final int MAX_PAYLOAD_CHARACTERS = 4_000;

    private JobBodyReader() {}

    /** Returns the job in a request body; empty when the body is malformed. */
    static Optional<WorkSubmission> read(
            String job, WorkQueue queue, Optional<String> account, byte[] encodedBody, long receivedMilliseconds) {
        JsonNode body = PlatformHttpClient.decode(encodedBody);
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
            boolean hasForwardDependency =
                    step.dependsOn().stream().anyMatch(dependency -> dependency < 0 || dependency >= steps.size());
            if (hasForwardDependency || step.taskCount() < 1 || !hasCountInRange(row.path("count"))) {
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
                receivedMilliseconds,
                account));
    }

    private static boolean hasCountInRange(JsonNode count) {
        return !count.isNumber() || count.canConvertToInt();
    }

    private static StepSpecification parseStep(JsonNode row) {
        List<Integer> dependsOn = new ArrayList<>();
        row.path("dependsOn").forEach(dependency -> dependsOn.add(dependency.asInt()));
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
                // Despite its name a flag: the step's processors are not counted against a host's free capacity.
                row.path("fillCount").asBoolean() || row.path("fillCount").asInt() > 0,
                row.path("maxUnavailable").asInt());
    }

    private static Optional<String> parseOptionalText(JsonNode value) {
        return Optional.of(value.asText("")).filter(text -> !text.isEmpty());
    }
}
