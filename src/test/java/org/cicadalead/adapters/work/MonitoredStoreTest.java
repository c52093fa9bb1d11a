package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.OptionalLong;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.InMemoryRecordStore.Fault;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class MonitoredStoreTest {
    private final InMemoryRecordStore backingStore = new InMemoryRecordStore();
    private final MonitoredStore store =
            new MonitoredStore(backingStore, new ManualTimerService(), new WorkMetrics(new SimpleMeterRegistry()));

    private void append(Topic topic) {
        store.append(topic, List.of(KeyedRecord.createDeletion("key")), OptionalLong.empty());
    }

    @Test
    void reportsOnlyUnreachableTopicAsUnavailable() {
        backingStore.makeUnavailable(Topic.JOBS);
        append(Topic.JOBS);
        append(Topic.LEADER);
        append(Topic.JOBS);
        append(Topic.LEADER);
        assertTrue(store.isUnavailable(Topic.JOBS));
        assertFalse(store.isUnavailable(Topic.SPARE_JOBS));
        assertFalse(store.isUnavailableForJobs());
    }

    @Test
    void reportsAllTopicsAsUnavailableWhenStoreIsUnreachable() {
        backingStore.failNext(Fault.REQUEST_LOST, 2);
        append(Topic.LEADER);
        append(Topic.OPERATOR);
        assertTrue(store.isUnavailableForJobs());
    }

    @Test
    void reportsStoreAsAvailableAfterAnyTopicAnswers() {
        backingStore.failNext(Fault.REQUEST_LOST, 2);
        append(Topic.LEADER);
        append(Topic.OPERATOR);
        append(Topic.LEADER);
        assertFalse(store.isUnavailableForJobs());
    }
}
