package org.cicadalead.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
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
        return keyedRecord.value().map(PlatformHttpClient::decode).flatMap(body -> readable(() -> plan(body)));
    }

    /** Returns what can be read; empty if a value is of another type or out of range. */
    private static <T> Optional<T> readable(Supplier<T> reading) {
        try {
            return Optional.of(reading.get());
        } catch (IllegalArgumentException ofAnotherWriter) {
            return Optional.empty();
        }
    }

    private static FleetPlan plan(JsonNode body) {
        Map<String, List<WorkQueue>> queues = new HashMap<>();
        for (JsonNode route : body.path("routes")) {
            readable(() -> parseQueue(route))
                    .ifPresent(queue -> queues.computeIfAbsent(queue.authority(), key -> new ArrayList<>())
                            .add(queue));
        }
        queues.replaceAll((authority, unsortedQueues) -> FleetPlan.sortByPrefix(unsortedQueues));
        Set<String> services = new HashSet<>();
        Set<String> standby = new HashSet<>();
        for (JsonNode service : body.path("services")) {
            readable(() -> CheckedJson.requireText(service.path("name"))).ifPresent(name -> {
                services.add(name);
                if (service.path("standby").asBoolean()) {
                    standby.add(name);
                }
            });
        }
        return new FleetPlan(
                CheckedJson.requireWholeNumber(body.path("version"), CheckedJson.MAX_NUMBER),
                queues,
                services,
                standby,
                parseMaximumBodyBytes(body.path("limits").path("maxBodyBytes")),
                parseAccounts(body.path("tenants")));
    }

    private static long parseMaximumBodyBytes(JsonNode limit) {
        long bytes = CheckedJson.numberOr(limit, DEFAULT_MAX_BODY_BYTES, CheckedJson.MAX_NUMBER);
        return bytes > 0 ? bytes : DEFAULT_MAX_BODY_BYTES;
    }

    /**
     * Reads the accounts. A row without a name or with an odd limit and a key that is no text are left out, so that a
     * damaged row rejects its own keys only; if the rows are of another type altogether, every key is rejected.
     */
    private static Optional<ClientAccounts> parseAccounts(JsonNode rows) {
        if (rows.isMissingNode() || rows.isNull()) {
            return Optional.empty();
        }
        List<ClientAccount> accounts = new ArrayList<>();
        for (JsonNode row : rows) {
            readable(() -> parseAccount(row)).ifPresent(accounts::add);
        }
        return Optional.of(ClientAccounts.of(accounts));
    }

    private static ClientAccount parseAccount(JsonNode row) {
        Set<KeyDigest> keys = new HashSet<>();
        for (JsonNode key : row.path("apiKeys")) {
            if (key.isTextual() && !key.asText().isEmpty()) {
                keys.add(KeyDigests.digest(key.asText()));
            }
        }
        JsonNode limit = row.path("cap");
        return new ClientAccount(
                CheckedJson.requireText(row.path("name")),
                keys,
                CheckedJson.decimalOr(row.path("weight"), 1),
                new HostCapacity(
                        CheckedJson.numberOf(limit.path("cpu"), 0, HostEntry.MAX_CAPACITY),
                        CheckedJson.numberOf(limit.path("memMb"), 0, HostEntry.MAX_CAPACITY),
                        CheckedJson.numberOf(limit.path("gpu"), 0, HostEntry.MAX_CAPACITY)));
    }

    /** Maximum of a duration in the configuration, in milliseconds: a hundred years. */
    private static final long MAX_MILLISECONDS = 100L * 365 * 24 * 3_600_000;

    /** The platform's default limit of the size of a request body, in bytes. */
    private static final long DEFAULT_MAX_BODY_BYTES = 262_144;

    private static WorkQueue parseQueue(JsonNode route) {
        JsonNode advisor = route.path("advisor");
        QueueTerms terms = new QueueTerms(
                (int) CheckedJson.numberOr(route.path("priority"), 0, Integer.MAX_VALUE),
                (int) Math.max(1, CheckedJson.numberOr(route.path("maxAttempts"), 1, Integer.MAX_VALUE)),
                CheckedJson.decimalOr(route.path("slackFactor"), 1),
                parseMilliseconds(route.path("targetDurationMs")),
                advisor.isObject()
                        ? Optional.of(new AdvisorTerms(
                                parseMilliseconds(advisor.path("decisionMs")),
                                parseMilliseconds(advisor.path("perItemMs")),
                                parseMilliseconds(advisor.path("validityMs"))))
                        : Optional.empty());
        return new WorkQueue(
                CheckedJson.requireText(route.path("name")),
                CheckedJson.requireText(route.path("host")),
                CheckedJson.textOf(route.path("pathPrefix")),
                CheckedJson.requireText(route.path("service")),
                parseMilliseconds(route.path("timeoutMs")),
                route.path("public").asBoolean(),
                terms);
    }

    private static long parseMilliseconds(JsonNode value) {
        return CheckedJson.numberOr(value, 0, MAX_MILLISECONDS);
    }

    @Override
    public Optional<MaintenanceWave> decodeWave(KeyedRecord keyedRecord) {
        if (!keyedRecord.key().startsWith(WAVE_PREFIX)) {
            return Optional.empty();
        }
        return keyedRecord
                .value()
                .map(PlatformHttpClient::decode)
                .filter(body -> body.path("machines").isArray())
                .flatMap(body -> readable(() -> new MaintenanceWave(
                        CheckedJson.requireWholeNumber(body.path("waveNo"), CheckedJson.MAX_NUMBER),
                        CheckedJson.textsOf(body.path("machines")),
                        parseSeconds(body.path("termS")),
                        (int) Math.max(1, CheckedJson.numberOr(body.path("cap"), 1, Integer.MAX_VALUE)))));
    }

    @Override
    public Optional<HostEntry> decodeHost(KeyedRecord keyedRecord) {
        return keyedRecord
                .value()
                .map(PlatformHttpClient::decode)
                .flatMap(body -> readable(() -> parseHost(keyedRecord.key(), body)));
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

    private static double parseSeconds(JsonNode value) {
        CheckedJson.numberOf(value, 0, MAX_MILLISECONDS);
        return value.asDouble();
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
