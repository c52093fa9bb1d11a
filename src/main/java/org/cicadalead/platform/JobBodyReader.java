package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.StepSpecification;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.model.work.WorkSubmission;

/** Reads the request bodies of jobs that callers submit. Stateless; safe for use by several threads. */
final class JobBodyReader {
    /** Maximum length of the text that describes what a job runs, in characters. */
    private static final int MAX_PAYLOAD_CHARACTERS = 4_000;

    /** Maximum of an interval or a duration in milliseconds: a hundred years. */
    private static final long MAX_INTERVAL_MILLISECONDS = 100L * 365 * 24 * 3_600_000;

    private JobBodyReader() {}

    /** Returns the job in a request body; empty when a value in the body is of another type or out of range. */
    static Optional<WorkSubmission> read(
            String job, WorkQueue queue, Optional<String> account, byte[] encodedBody, long receivedMilliseconds) {
        JsonNode body = PlatformHttpClient.decode(encodedBody);
        JsonNode payload = body.path("spec");
        if (!payload.isTextual() || payload.asText().length() > MAX_PAYLOAD_CHARACTERS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new WorkSubmission(
                    job,
                    queue.name(),
                    queue.service(),
                    queue.terms(),
                    payload.asText(),
                    parseSteps(body),
                    (int) CheckedJson.wholeNumberOf(field(body, "repeatCount"), 0, Integer.MAX_VALUE),
                    CheckedJson.numberOf(field(body, "startAtMs"), 0, CheckedJson.MAX_NUMBER),
                    CheckedJson.numberOf(field(body, "intervalMs"), 0, MAX_INTERVAL_MILLISECONDS),
                    receivedMilliseconds,
                    account));
        } catch (IllegalArgumentException | IndexOutOfBoundsException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the value of a field, which is absent also when it is null. */
    private static JsonNode field(JsonNode object, String name) {
        JsonNode value = object.path(name);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    private static List<StepSpecification> parseSteps(JsonNode body) {
        List<StepSpecification> steps = CheckedJson.rowsOf(body.path("jobSteps")).stream()
                .map(JobBodyReader::parseStep)
                .toList();
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job without steps");
        }
        return steps;
    }

    private static StepSpecification parseStep(JsonNode row) {
        if (!row.isObject()) {
            throw new IllegalArgumentException("a step that is no object");
        }
        long taskCount = CheckedJson.wholeNumberOf(field(row, "count"), 1, Integer.MAX_VALUE);
        if (taskCount < 1) {
            throw new IllegalArgumentException("a step without tasks");
        }
        List<Integer> dependsOn = CheckedJson.rowsOf(field(row, "dependsOn")).stream()
                .map(dependency -> (int) CheckedJson.requireWholeNumber(dependency, Integer.MAX_VALUE))
                .toList();
        return new StepSpecification(
                (int) taskCount,
                CheckedJson.numberOf(field(row, "cpu"), 0, HostEntry.MAX_CAPACITY),
                CheckedJson.numberOf(field(row, "memMb"), 0, HostEntry.MAX_CAPACITY),
                CheckedJson.numberOf(field(row, "gpu"), 0, HostEntry.MAX_CAPACITY),
                CheckedJson.numberOf(field(row, "estimatedMs"), 0, MAX_INTERVAL_MILLISECONDS),
                dependsOn,
                CheckedJson.flagOf(field(row, "checkpointing")),
                CheckedJson.flagOf(field(row, "gang")),
                CheckedJson.flagOf(field(row, "sameRack")),
                parseOptionalText(row, "requiredLabel"),
                parseOptionalText(row, "affinity"),
                parseCount(row, "maxPerServer"),
                CheckedJson.flagOf(field(row, "speculative")),
                CheckedJson.flagOf(field(row, "longRunning")),
                parseOptionalText(row, "image"),
                CheckedJson.numberOf(field(row, "targetMs"), 0, MAX_INTERVAL_MILLISECONDS),
                // Despite its name a flag: the step's processors are not counted against a host's free capacity.
                CheckedJson.flagOf(field(row, "fillCount")),
                parseCount(row, "maxUnavailable"));
    }

    private static int parseCount(JsonNode row, String name) {
        return (int) CheckedJson.wholeNumberOf(field(row, name), 0, Integer.MAX_VALUE);
    }

    private static Optional<String> parseOptionalText(JsonNode row, String name) {
        return Optional.of(CheckedJson.textOf(field(row, name))).filter(text -> !text.isEmpty());
    }
}
