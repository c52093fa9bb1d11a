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
    private static final Duration WAIT = Duration.ofSeconds(1);

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<TopicFollower> followers = new ArrayList<>();
    private final Map<Topic, List<KeyedRecord>> unloaded = new EnumMap<>(Topic.class);
    private final AtomicLongArray readAt = new AtomicLongArray(TOPICS.size());
    private final TimerService timers;
    private final Listener listener;
    private boolean loaded;

    JobsFeed(RecordStore store, TimerService timers, Listener listener) {
        this.timers = timers;
        this.listener = listener;
        for (int index = 0; index < TOPICS.size(); index++) {
            readAt.set(index, NEVER);
            followers.add(
                    new TopicFollower(store, TOPICS.get(index), timers, WAIT, Duration.ZERO, new TopicListener(index)));
        }
    }

    void start() {
        followers.forEach(TopicFollower::start);
    }

    void close() {
        followers.forEach(TopicFollower::close);
    }

    /** Returns when the topic that was read longest ago was read, in nanoseconds of the monotonic clock. */
    long readAt() {
        long oldest = Long.MAX_VALUE;
        for (int index = 0; index < TOPICS.size(); index++) {
            oldest = Math.min(oldest, readAt.get(index));
        }
        return oldest;
    }

    /** The listener is called in the order of reading, so that nothing overtakes what was loaded. */
    private synchronized void take(Topic topic, List<KeyedRecord> records) {
        if (loaded) {
            listener.records(records);
            return;
        }
        unloaded.computeIfAbsent(topic, unseen -> new ArrayList<>()).addAll(records);
        if (unloaded.size() < TOPICS.size()) {
            return;
        }
        loaded = true;
        listener.loaded(unloaded.values().stream().flatMap(List::stream).toList());
        unloaded.clear();
    }

    /** Takes what is read. */
    interface Listener {
        /** All jobs that are stored, once every topic was read. */
        void loaded(List<KeyedRecord> records);

        /** Further records, or known ones again. */
        void records(List<KeyedRecord> records);
    }

    private final class TopicListener implements TopicFollower.Listener {
        private final int index;

        TopicListener(int index) {
            this.index = index;
        }

        @Override
        public void answered(boolean answers) {
            if (answers) {
                readAt.set(index, timers.nanoTime());
            }
        }

        @Override
        public void snapshot(List<KeyedRecord> records) {
            take(TOPICS.get(index), records);
        }

        @Override
        public void records(List<KeyedRecord> records) {
            take(TOPICS.get(index), records);
        }
    }
}
