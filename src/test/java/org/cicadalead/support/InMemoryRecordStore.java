package org.cicadalead.support;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cicadalead.ports.RecordStore;

/** Stores keyed records in memory, with faults that tests can inject. Completes every call at once. Thread-safe. */
public final class InMemoryRecordStore implements RecordStore {
    private final Map<Topic, List<KeyedRecord>> topics = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> epochs = new EnumMap<>(Topic.class);
    private final Map<Topic, Map<WriterPosition, AppendResult>> resultsByPosition = new HashMap<>();
    private final Map<Topic, Long> sequences = new EnumMap<>(Topic.class);
    private final Set<Topic> unavailableTopics = EnumSet.noneOf(Topic.class);
    private Fault fault = Fault.NONE;
    private int remainingFaults;

    /** The fault that is injected into the next appends. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The append is not carried out, and the caller is informed of it. */
        REFUSED,
        /** The append is not carried out, and the caller gets no reply. */
        REQUEST_LOST,
        /** The append is carried out, but the caller gets no reply. */
        REPLY_LOST
    }

    /** Injects a fault into the given number of next appends. */
    public synchronized void failNext(Fault kind, int count) {
        fault = kind;
        remainingFaults = count;
    }

    /** Makes a topic unavailable from now on: its reads and snapshots fail, and its appends get no reply. */
    public synchronized void makeUnavailable(Topic topic) {
        unavailableTopics.add(topic);
    }

    private Fault nextFault() {
        if (remainingFaults == 0) {
            return Fault.NONE;
        }
        remainingFaults--;
        return fault;
    }

    private List<KeyedRecord> recordsOf(Topic topic) {
        return topics.computeIfAbsent(topic, key -> new ArrayList<>());
    }

    @Override
    public synchronized CompletableFuture<AppendResult> append(
            Topic topic, List<KeyedRecord> records, OptionalLong expectedEnd) {
        return withFault(topic, () -> {
            long end = recordsOf(topic).size();
            return expectedEnd.isPresent() && expectedEnd.getAsLong() != end
                    ? new AppendResult(AppendOutcome.CONFLICT, end)
                    : write(topic, records);
        });
    }

    @Override
    public synchronized CompletableFuture<AppendResult> appendFenced(
            Topic topic, List<KeyedRecord> records, WriterPosition position) {
        return withFault(topic, () -> {
            long knownEpoch = epochs.getOrDefault(topic, 0L);
            if (position.epoch() < knownEpoch) {
                return new AppendResult(AppendOutcome.FENCED, -1);
            }
            if (position.epoch() > knownEpoch) {
                epochs.put(topic, position.epoch());
                sequences.remove(topic);
            }
            Map<WriterPosition, AppendResult> earlierResults =
                    resultsByPosition.computeIfAbsent(topic, key -> new HashMap<>());
            if (earlierResults.containsKey(position)) {
                return earlierResults.get(position);
            }
            long expected = sequences.containsKey(topic) ? sequences.get(topic) + 1 : position.sequence();
            if (position.sequence() != expected) {
                return new AppendResult(AppendOutcome.OUT_OF_SEQUENCE, expected);
            }
            sequences.put(topic, position.sequence());
            AppendResult result = write(topic, records);
            earlierResults.put(position, result);
            return result;
        });
    }

    private AppendResult write(Topic topic, List<KeyedRecord> records) {
        for (KeyedRecord stored : records) {
            recordsOf(topic)
                    .add(new KeyedRecord(
                            stored.key(), stored.value(), recordsOf(topic).size()));
        }
        return new AppendResult(AppendOutcome.STORED, recordsOf(topic).size());
    }

    private CompletableFuture<AppendResult> withFault(Topic topic, Supplier<AppendResult> action) {
        Fault injectedFault = unavailableTopics.contains(topic) ? Fault.REQUEST_LOST : nextFault();
        boolean isCarriedOut = injectedFault == Fault.NONE || injectedFault == Fault.REPLY_LOST;
        AppendResult outcome = isCarriedOut ? action.get() : new AppendResult(AppendOutcome.REFUSED, -1);
        boolean isReplied = injectedFault == Fault.NONE || injectedFault == Fault.REFUSED;
        return CompletableFuture.completedFuture(isReplied ? outcome : new AppendResult(AppendOutcome.UNKNOWN, -1));
    }

    @Override
    public synchronized CompletableFuture<ReadResult> read(Topic topic, long fromOffset, Duration wait) {
        if (unavailableTopics.contains(topic)) {
            return CompletableFuture.completedFuture(new ReadResult(ReadOutcome.FAILED, List.of(), fromOffset));
        }
        List<KeyedRecord> allRecords = recordsOf(topic);
        List<KeyedRecord> records =
                allRecords.subList((int) Math.min(fromOffset, allRecords.size()), allRecords.size());
        return CompletableFuture.completedFuture(new ReadResult(ReadOutcome.READ, records, allRecords.size()));
    }

    @Override
    public synchronized CompletableFuture<Snapshot> snapshot(Topic topic) {
        if (unavailableTopics.contains(topic)) {
            return CompletableFuture.completedFuture(new Snapshot(false, List.of(), 0));
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        for (KeyedRecord stored : recordsOf(topic)) {
            newest.remove(stored.key());
            if (stored.value().isPresent()) {
                newest.put(stored.key(), stored);
            }
        }
        return CompletableFuture.completedFuture(new Snapshot(
                true, new ArrayList<>(newest.values()), recordsOf(topic).size()));
    }
}
