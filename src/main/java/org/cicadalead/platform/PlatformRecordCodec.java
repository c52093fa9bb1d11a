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
import org.cicadalead.logic.work.account.KeyDigests;
import org.cicadalead.model.work.AdvisorTerms;
import org.cicadalead.model.work.ClientAccount;
import org.cicadalead.model.work.ClientAccounts;
import org.cicadalead.model.work.FleetPlan;
import org.cicadalead.model.work.HostCapacity;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.KeyDigest;
import org.cicadalead.model.work.MaintenanceWave;
import org.cicadalead.model.work.QueueTerms;
import org.cicadalead.model.work.SocketAddressText;
import org.cicadalead.model.work.WorkQueue;
import org.cicadalead.ports.RecordStore.KeyedRecord;

/**
 * Reads and writes records in the formats that the platform prescribes. A record of another writer that doesn't have
 * the format is read as empty. Stateless; safe for use by several threads.
 */
final class PlatformRecordCodec implements OperatorFeed.Decoder, RegistryFormat {
    private static final String CONFIGURATION_KEY = "config";
    private static final String WAVE_PREFIX = "wave/";

    @Override
    public Optional<FleetPlan> decodePlan(KeyedRecord keyedRecord) {
        if (!keyedRecord.key().equals(CONFIGURATION_KEY)) {
            return Optional.empty();
        }
        return keyedRecord
                .value()
                .map(PlatformHttpClient::decode)
                .filter(body -> body.path("version").isIntegralNumber())
                .map(PlatformRecordCodec::plan);
    }

    private static FleetPlan plan(JsonNode body) {
        Map<String, List<WorkQueue>> queues = new HashMap<>();
        for (JsonNode route : body.path("routes")) {
            queues.computeIfAbsent(route.path("host").asText(), key -> new ArrayList<>())
                    .add(parseQueue(route));
        }
        queues.replaceAll((authority, unsortedQueues) -> FleetPlan.sortByPrefix(unsortedQueues));
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
                body.path("limits").path("maxBodyBytes").asLong(DEFAULT_MAX_BODY_BYTES),
                parseAccounts(body.path("tenants")));
    }

    /**
     * Reads the accounts. A row without a name and a key that is no text are left out, so that a damaged row rejects
     * its own keys only; if the rows are of another type altogether, every key is rejected.
     */
    private static Optional<ClientAccounts> parseAccounts(JsonNode rows) {
        if (rows.isMissingNode() || rows.isNull()) {
            return Optional.empty();
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (JsonNode row : rows) {
            if (!row.path("name").isTextual() || row.path("name").asText().isEmpty()) {
                continue;
            }
            Set<KeyDigest> keys = new HashSet<>();
            for (JsonNode key : row.path("apiKeys")) {
                if (key.isTextual() && !key.asText().isEmpty()) {
                    keys.add(KeyDigests.digest(key.asText()));
                }
            }
            accounts.add(new ClientAccount(
                    row.path("name").asText(), keys, row.path("weight").asDouble(1), parseCapacity(row.path("cap"))));
        }
        return Optional.of(ClientAccounts.of(accounts));
    }

    private static HostCapacity parseCapacity(JsonNode capacity) {
        return new HostCapacity(
                capacity.path("cpu").asLong(),
                capacity.path("memMb").asLong(),
                capacity.path("gpu").asLong());
    }

    /** The platform's default limit of the size of a request body, in bytes. */
    private static final long DEFAULT_MAX_BODY_BYTES = 262_144;

    private static WorkQueue parseQueue(JsonNode route) {
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
                route.path("public").asBoolean(),
                terms);
    }

    @Override
    public Optional<MaintenanceWave> decodeWave(KeyedRecord keyedRecord) {
        if (!keyedRecord.key().startsWith(WAVE_PREFIX)) {
            return Optional.empty();
        }
        return keyedRecord
                .value()
                .map(PlatformHttpClient::decode)
                .filter(body -> body.path("waveNo").isIntegralNumber()
                        && body.path("machines").isArray())
                .map(body -> new MaintenanceWave(
                        body.path("waveNo").asLong(),
                        parseTexts(body.path("machines")),
                        body.path("termS").asDouble(),
                        Math.max(1, body.path("cap").asInt(1))));
    }

    @Override
    public Optional<HostEntry> decodeHost(KeyedRecord keyedRecord) {
        return keyedRecord.value().flatMap(value -> {
            try {
                return Optional.of(parseHost(keyedRecord.key(), PlatformHttpClient.decode(value)));
            } catch (IllegalArgumentException ofAnotherWriter) {
                return Optional.empty();
            }
        });
    }

    private static HostEntry parseHost(String identifier, JsonNode body) {
        for (String unused : List.of("slots", "seqNo", "coldRemainingMs", "drainRemainingMs")) {
            CheckedJson.numberOf(body.path(unused), 0, CheckedJson.MAX_NUMBER);
        }
        return new HostEntry(
                identifier,
                CheckedJson.requireText(body.path("service")),
                new SocketAddressText(CheckedJson.requireText(body.path("address"))).text(),
                CheckedJson.requireText(body.path("zone")),
                parseDraining(body.path("state")),
                CheckedJson.wholeNumberOf(body.path("born"), 0, CheckedJson.MAX_NUMBER),
                CheckedJson.numberOf(body.path("clockMs"), 0, CheckedJson.MAX_NUMBER),
                parseHostCapacity(body.path("capacity")),
                CheckedJson.textsOf(body.path("labels")));
    }

    private static boolean parseDraining(JsonNode state) {
        return switch (CheckedJson.requireText(state)) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IllegalArgumentException("an unknown state");
        };
    }

    private static HostCapacity parseHostCapacity(JsonNode capacity) {
        return new HostCapacity(
                CheckedJson.requireNumber(capacity.path("cpu"), HostEntry.MAX_CAPACITY),
                CheckedJson.requireNumber(capacity.path("memMb"), HostEntry.MAX_CAPACITY),
                CheckedJson.numberOf(capacity.path("gpu"), 0, HostEntry.MAX_CAPACITY));
    }

    private static List<String> parseTexts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(element -> texts.add(element.asText()));
        return texts;
    }

    @Override
    public KeyedRecord encodeWaveStatus(long wave, boolean completed) {
        return KeyedRecord.of(
                WAVE_PREFIX + wave,
                PlatformHttpClient.encode(
                        PlatformHttpClient.JSON.createObjectNode().put("state", completed ? "completed" : "running")));
    }

    @Override
    public Optional<Long> decodeCompletedWave(KeyedRecord keyedRecord) {
        boolean isCompleted = keyedRecord.key().startsWith(WAVE_PREFIX)
                && keyedRecord
                        .value()
                        .map(PlatformHttpClient::decode)
                        .map(body -> body.path("state").asText().equals("completed"))
                        .orElse(false);
        try {
            return isCompleted
                    ? Optional.of(Long.parseLong(keyedRecord.key().substring(WAVE_PREFIX.length())))
                    : Optional.empty();
        } catch (NumberFormatException notAWave) {
            return Optional.empty();
        }
    }
}
