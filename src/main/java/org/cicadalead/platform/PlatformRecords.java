package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadalead.adapters.work.OperatorFeed;
import org.cicadalead.adapters.work.RegistryFormat;
import org.cicadalead.model.work.AdvisorTerms;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/**
 * Reads and writes the records that the platform prescribes. A record that another writer damaged names nothing.
 * Stateless; safe for use by several threads.
 */
final class PlatformRecords implements OperatorFeed.Decoder, RegistryFormat {
    private static final String CONFIGURATION_KEY = "config";
    private static final String WAVE_PREFIX = "wave/";

    @Override
    public Optional<FleetPlan> decodePlan(KeyedRecord stored) {
        if (!stored.key().equals(CONFIGURATION_KEY)) {
            return Optional.empty();
        }
        return stored.value()
                .map(HttpCalls::decode)
                .filter(body -> body.path("version").isIntegralNumber())
                .map(PlatformRecords::plan);
    }

    private static FleetPlan plan(JsonNode body) {
        Map<String, List<WorkQueue>> queues = new HashMap<>();
        for (JsonNode route : body.path("routes")) {
            queues.computeIfAbsent(route.path("host").asText(), unseen -> new ArrayList<>())
                    .add(queue(route));
        }
        queues.replaceAll((authority, unsorted) -> FleetPlan.sortByPrefix(unsorted));
        Set<String> services = new HashSet<>();
        Set<String> standby = new HashSet<>();
        for (JsonNode service : body.path("services")) {
            services.add(service.path("name").asText());
            if (service.path("standby").asBoolean()) {
                standby.add(service.path("name").asText());
            }
        }
        return new FleetPlan(
                body.path("version").asLong(),
                queues,
                services,
                standby,
                body.path("limits").path("maxBodyBytes").asLong(DEFAULT_BODY_BYTES));
    }

    /** The platform's default limit of a body. */
    private static final long DEFAULT_BODY_BYTES = 262_144;

    private static WorkQueue queue(JsonNode route) {
        JsonNode advisor = route.path("advisor");
        QueueTerms terms = new QueueTerms(
                route.path("priority").asInt(),
                Math.max(1, route.path("maxAttempts").asInt(1)),
                route.path("slackFactor").asDouble(1),
                route.path("targetDurationMs").asLong(),
                advisor.isObject()
                        ? Optional.of(new AdvisorTerms(
                                advisor.path("decisionMs").asLong(),
                                advisor.path("perItemMs").asLong(),
                                advisor.path("validityMs").asLong()))
                        : Optional.empty());
        return new WorkQueue(
                route.path("name").asText(),
                route.path("host").asText(),
                route.path("pathPrefix").asText(),
                route.path("service").asText(),
                route.path("timeoutMs").asLong(),
                terms);
    }

    @Override
    public Optional<MaintenanceWave> decodeWave(KeyedRecord stored) {
        if (!stored.key().startsWith(WAVE_PREFIX)) {
            return Optional.empty();
        }
        return stored.value()
                .map(HttpCalls::decode)
                .filter(body -> body.path("waveNo").isIntegralNumber()
                        && body.path("machines").isArray())
                .map(body -> new MaintenanceWave(
                        body.path("waveNo").asLong(),
                        texts(body.path("machines")),
                        body.path("termS").asDouble(),
                        Math.max(1, body.path("cap").asInt(1))));
    }

    @Override
    public Optional<HostEntry> decodeHost(KeyedRecord stored) {
        return stored.value()
                .map(HttpCalls::decode)
                .filter(PlatformRecords::isUsable)
                .map(body -> host(stored.key(), body));
    }

    private static boolean isUsable(JsonNode body) {
        JsonNode capacity = body.path("capacity");
        String state = body.path("state").asText();
        return body.path("service").isTextual()
                && body.path("address").isTextual()
                && body.path("address").asText().matches("[0-9.]+:[0-9]+")
                && body.path("zone").isTextual()
                && (state.equals("ready") || state.equals("draining"))
                && capacity.path("cpu").isNumber()
                && capacity.path("memMb").isNumber();
    }

    private static HostEntry host(String identifier, JsonNode body) {
        JsonNode capacity = body.path("capacity");
        return new HostEntry(
                identifier,
                body.path("service").asText(),
                body.path("address").asText(),
                body.path("zone").asText(),
                body.path("state").asText().equals("draining"),
                body.path("born").asLong(),
                body.path("clockMs").asLong(),
                new HostCapacity(
                        capacity.path("cpu").asLong(),
                        capacity.path("memMb").asLong(),
                        capacity.path("gpu").asLong()),
                texts(body.path("labels")));
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(element -> texts.add(element.asText()));
        return texts;
    }

    @Override
    public KeyedRecord encodeWaveStatus(long wave, boolean completed) {
        return KeyedRecord.of(
                WAVE_PREFIX + wave,
                HttpCalls.encode(HttpCalls.JSON.createObjectNode().put("state", completed ? "completed" : "running")));
    }

    @Override
    public Optional<Long> decodeCompletedWave(KeyedRecord stored) {
        boolean completed = stored.key().startsWith(WAVE_PREFIX)
                && stored.value()
                        .map(HttpCalls::decode)
                        .map(body -> body.path("state").asText().equals("completed"))
                        .orElse(false);
        try {
            return completed
                    ? Optional.of(Long.parseLong(stored.key().substring(WAVE_PREFIX.length())))
                    : Optional.empty();
        } catch (NumberFormatException notAWave) {
            return Optional.empty();
        }
    }
}
