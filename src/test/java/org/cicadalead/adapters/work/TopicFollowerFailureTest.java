package org.cicadalead.adapters.work;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.support.InMemoryRecordStore;
import org.cicadalead.support.ManualTimerService;
import org.junit.jupiter.api.Test;

class TopicFollowerFailureTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final WorkMetrics metrics = new WorkMetrics(registry);
    private final DecisionLog log = new DecisionLog(output, "process", metrics);
    private final ManualTimerService timers = new ManualTimerService();
    private final MonitoredStore store = new MonitoredStore(new InMemoryRecordStore(), timers, metrics);

    /** A reader whose listener failed ended without a line. */
    @Test
    void logsFailureOfListenerWithItsTopic() {
        TopicFollower.Listener listener = new TopicFollower.Listener() {
            @Override
            public void onSnapshot(List<KeyedRecord> records) {
                throw new IllegalStateException("cannot be handled");
            }

            @Override
            public void onRecords(List<KeyedRecord> records) {}
        };
        new TopicFollower(store, Topic.HOSTS, timers, log, Duration.ZERO, Duration.ofMillis(100), listener).start();
        log.close();
        String lines = output.toString(StandardCharsets.UTF_8);
        assertTrue(
                lines.contains("\"kind\":\"TOPIC_READER_FAILED\",\"process\":\"process\",\"topic\":\"HOSTS\""), lines);
        assertTrue(lines.contains("cannot be handled"), lines);
    }

    @Test
    void showsAgeOfLastSuccessfulReadOfTopic() {
        store.snapshot(Topic.HOSTS).join();
        timers.advance(Duration.ofSeconds(7));
        assertEquals(
                7.0,
                registry.get("cicadalead.store.last.read.seconds")
                        .tag("topic", "hosts")
                        .gauge()
                        .value());
        log.close();
    }
}
