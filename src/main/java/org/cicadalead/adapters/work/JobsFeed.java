package org.cicadalead.adapters.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.cicadalead.ports.RecordStore;
import org.cicadalead.ports.RecordStore.KeyedRecord;
import org.cicadalead.ports.RecordStore.Topic;
import org.cicadalead.ports.TimerService;

/**
 * Follows all topics that store jobs and merges them into one feed. Safe for use by several threads; the listener may
 * be called on any of them.
 */
final class JobsFeed {
    /** Topics that store jobs, in the order in which they are tried. */
    static final List<Topic> TOPICS = List.of(Topic.JOBS, Topic.SPARE_JOBS);

    /**
     * How long the store may wait for new jobs before it responds to a read. A store that has lost track of its waiting
     * reads answers a new one at once if jobs have been stored meanwhile.
     */
    private static final Duration MAX_READ_WAIT = Duration.ofMillis(200);

    /** Read time of a topic that was never read; halved so that computing an age does not overflow. */
    private static final long NEVER_READ = Long.MIN_VALUE / 2;

    private final List<TopicFollower> followers = new ArrayList<>();
    private final Map<Topic, List<KeyedRecord>> loadedByTopic = new EnumMap<>(Topic.class);
    private final AtomicLongArray lastReadNanoTime = new AtomicLongArray(TOPICS.size());
    private final TimerService timers;
    private final Listener listener;
    private boolean loaded;

    JobsFeed(RecordStore store, TimerService timers, DecisionLog log, Listener listener) {
        this.timers = timers;
        this.listener = listener;
        for (int index = 0; index < TOPICS.size(); index++) {
            lastReadNanoTime.set(index, NEVER_READ);
            followers.add(new TopicFollower(
                    store, TOPICS.get(index), timers, log, MAX_READ_WAIT, Duration.ZERO, new TopicListener(index)));
        }
    }

    void start() {
        followers.forEach(TopicFollower::start);
    }

    void close() {
        followers.forEach(TopicFollower::close);
    }

    /** Returns the oldest of the last read times of the topics, in nanoseconds of the monotonic clock. */
    long lastReadNanoTime() {
        long oldest = Long.MAX_VALUE;
        for (int index = 0; index < TOPICS.size(); index++) {
            oldest = Math.min(oldest, lastReadNanoTime.get(index));
        }
        return oldest;
    }

    /** Holds records back until every topic is loaded. Synchronized, so that the listener sees them in read order. */
    private synchronized void deliver(Topic topic, List<KeyedRecord> records) {
        if (loaded) {
            listener.onRecords(records);
            return;
        }
        loadedByTopic.computeIfAbsent(topic, unloadedTopic -> new ArrayList<>()).addAll(records);
        if (loadedByTopic.size() < TOPICS.size()) {
            return;
        }
        loaded = true;
        listener.onLoaded(loadedByTopic.values().stream()
                .flatMap(read -> read.stream().sorted(Comparator.comparingLong(KeyedRecord::offset)))
                .toList());
        loadedByTopic.clear();
    }

    /** Receives the records that are read. */
    interface Listener {
        /**
         * Handles all stored jobs; called once, after every topic has been read. The records of a topic come in the
         * order in which they were stored, so that a successor meets those of a job in the order of its predecessor.
         */
        void onLoaded(List<KeyedRecord> records);

        /** Handles further records; known ones may be repeated. */
        void onRecords(List<KeyedRecord> records);
    }

    private final class TopicListener implements TopicFollower.Listener {
        private final int index;

        TopicListener(int index) {
            this.index = index;
        }

        @Override
        public void onReadCompleted(boolean succeeded) {
            if (succeeded) {
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
