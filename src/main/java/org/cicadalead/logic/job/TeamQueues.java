package org.cicadalead.logic.job;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.state.SharedState;

/**
 * Queues the waiting jobs of one pool during a planning cycle. Jobs are ordered by urgency, then by the weighted share
 * that their team already uses, lowest first, then by age. Not thread-safe.
 */
final class TeamQueues {
    private static final Comparator<JobState> ORDER_WITHIN_TEAM = Comparator.comparingInt(
                    (JobState job) -> job.submission().urgency())
            .thenComparingLong(JobState::acceptedAt)
            .thenComparing(job -> job.submission().job());

    private final SharedState state;
    private final JobSize poolSize;
    private final Map<TeamName, Double> usedShares = new HashMap<>();
    private final Map<TeamName, Deque<JobState>> waitingJobs = new HashMap<>();
    private final PriorityQueue<Head> heads = new PriorityQueue<>();

    TeamQueues(SharedState state, JobSize poolSize, List<JobState> jobs) {
        this.state = state;
        this.poolSize = poolSize;
        jobs.stream().sorted(ORDER_WITHIN_TEAM).forEach(job -> waitingJobs
                .computeIfAbsent(job.submission().team(), team -> new ArrayDeque<>())
                .add(job));
    }

    /** Adds capacity that a team already uses. Must be called before {@link #start}. */
    void addUsage(TeamName team, JobSize size) {
        usedShares.merge(team, weightedShare(team, size), Double::sum);
    }

    /** Queues the first job of each team. */
    void start() {
        waitingJobs.keySet().forEach(this::pushHead);
    }

    /** Removes and returns the next job. Its team is not considered again until {@link #requeueTeam}. */
    Optional<JobState> pollNext() {
        Head head = heads.poll();
        if (head == null) {
            return Optional.empty();
        }
        TeamName team = head.job.submission().team();
        waitingJobs.get(team).removeFirst();
        return Optional.of(head.job);
    }

    /**
     * Queues the next job of a team after {@link #pollNext}, and counts the capacity that its last job was allocated.
     */
    void requeueTeam(TeamName team, JobSize allocated) {
        addUsage(team, allocated);
        pushHead(team);
    }

    private void pushHead(TeamName team) {
        JobState first = waitingJobs.get(team).peekFirst();
        if (first != null) {
            heads.add(new Head(first, usedShares.getOrDefault(team, 0.0)));
        }
    }

    private double weightedShare(TeamName team, JobSize size) {
        int weight = Optional.ofNullable(state.configuration().merged().teams().get(team))
                .map(definition -> definition.share())
                .orElse(1);
        return size.dominantShareOf(poolSize) / Math.max(1, weight);
    }

    private record Head(JobState job, double usedShare) implements Comparable<Head> {
        private static final Comparator<Head> ORDER = Comparator.comparingInt(
                        (Head head) -> head.job.submission().urgency())
                .thenComparingDouble(Head::usedShare)
                .thenComparing(Head::job, ORDER_WITHIN_TEAM);

        @Override
        public int compareTo(Head other) {
            return ORDER.compare(this, other);
        }
    }
}
