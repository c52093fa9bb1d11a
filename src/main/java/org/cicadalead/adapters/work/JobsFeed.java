package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows all topics in which jobs are stored as one. Safe for use by several threads; calls its listener from any of
 * them.
 */
final class JobsFeed {
    /** Where jobs are stored, in the order in which it is tried. */
    static final List<Topic> TOPICS = List.of(Topic.JOBS, Topic.SPARE_JOBS);

    /** Wait of a read of new jobs. */
    private static final Duration MAX_READ_WAIT = Duration.ofSeconds(1);

    private static final long NEVER_READ = Long.MIN_VALUE / 2;

    private final List<TopicFollower> followers = new ArrayList<>();
    private final Map<Topic, List<KeyedRecord>> loadedByTopic = new EnumMap<>(Topic.class);
    private final AtomicLongArray lastReadNanoTime = new AtomicLongArray(TOPICS.size());
    private final TimerService timers;
    private final Listener listener;
    private boolean loaded;

    JobsFeed(RecordStore store, TimerService timers, Listener listener) {
        this.timers = timers;
        this.listener = listener;
        for (int index = 0; index < TOPICS.size(); index++) {
            lastReadNanoTime.set(index, NEVER_READ);
            followers.add(new TopicFollower(
                    store, TOPICS.get(index), timers, MAX_READ_WAIT, Duration.ZERO, new TopicListener(index)));
        }
    }

    void start() {
        followers.forEach(TopicFollower::start);
    }

    void close() {
        followers.forEach(TopicFollower::close);
    }

    /** Returns when the topic that was read longest ago was read, in nanoseconds of the monotonic clock. */
    long lastReadNanoTime() {
        long oldest = Long.MAX_VALUE;
        for (int index = 0; index < TOPICS.size(); index++) {
            oldest = Math.min(oldest, lastReadNanoTime.get(index));
        }
        return oldest;
    }

    /** The listener is called in the order of reading, so that nothing overtakes what was loaded. */
    private synchronized void deliver(Topic topic, List<KeyedRecord> records) {
        if (loaded) {
            listener.onRecords(records);
            return;
        }
        loadedByTopic.computeIfAbsent(topic, unseen -> new ArrayList<>()).addAll(records);
        if (loadedByTopic.size() < TOPICS.size()) {
            return;
        }
        loaded = true;
        listener.onLoaded(loadedByTopic.values().stream().flatMap(List::stream).toList());
        loadedByTopic.clear();
    }

    /** Takes what is read. */
    interface Listener {
        /** All jobs that are stored, once every topic was read. */
        void onLoaded(List<KeyedRecord> records);

        /** Further records, or known ones again. */
        void onRecords(List<KeyedRecord> records);
    }

    private final class TopicListener implements TopicFollower.Listener {
        private final int index;

        TopicListener(int index) {
            this.index = index;
        }

        @Override
        public void onReadCompleted(boolean answers) {
            if (answers) {
                lastReadNanoTime.set(index, timers.nanoTime());
            }
        }

        @Override
        public void onSnapshot(List<KeyedRecord> records) {
            deliver(TOPICS.get(index), records);
        }

        @Override
        public void onRecords(List<KeyedRecord> records) {
            deliver(TOPICS.get(index), records);
        }
    }
}
