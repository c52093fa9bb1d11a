package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.TeamName;
import org.pcollections.TreePMap;

/**
 * All long jobs of the shared state. A job is in exactly one of the two maps; the newest ended jobs are kept so that
 * their callers find the answer, and the oldest of them is dropped for each one above the limit. Immutable; its maps
 * are persistent.
 *
 * @param unfinished accepted jobs without a final answer
 * @param ended jobs with their final answer
 * @param endedOrder ended jobs by the order of their ends, from 1
 * @param unfinishedByTeam number of unfinished jobs of each team that has any
 * @param hosts hosts as places for jobs
 */
public record JobLedger(
        TreePMap<JobIdentifier, JobState> unfinished,
        TreePMap<JobIdentifier, JobState> ended,
        TreePMap<Long, JobIdentifier> endedOrder,
        TreePMap<TeamName, Integer> unfinishedByTeam,
        TreePMap<HostName, JobHostState> hosts) {
    /** Ended jobs that are kept. */
    public static final int MAX_ENDED = 10_000;

    /** Most unfinished jobs of all teams together, which bounds the memory of every process. */
    public static final int MAX_UNFINISHED = 30_000;

    private static final int MAX_UNDECLARED_HOSTS = 64;

    /** Returns the ledger before the first job. */
    public static JobLedger empty() {
        return new JobLedger(TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty());
    }

    /** Finds a job, ended or not. */
    public Optional<JobState> find(JobIdentifier job) {
        JobState found = unfinished.get(job);
        return Optional.ofNullable(found == null ? ended.get(job) : found);
    }

    /** Returns the number of unfinished jobs of a team. */
    public int countUnfinished(TeamName team) {
        return unfinishedByTeam.getOrDefault(team, 0);
    }

    /** Returns a host as a place for jobs. */
    public JobHostState host(HostName host) {
        return hosts.getOrDefault(host, JobHostState.UNUSED);
    }

    /** Returns the number of jobs of which a task may exist on a host. */
    public int countJobsOn(HostName host) {
        int count = 0;
        for (JobState job : unfinished.values()) {
            if (job.phase().isOnHost() && job.host().filter(host::equals).isPresent()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the ledger with a new job. */
    public JobLedger withAccepted(JobState job) {
        TeamName team = job.submission().team();
        return new JobLedger(
                unfinished.plus(job.submission().job(), job),
                ended,
                endedOrder,
                unfinishedByTeam.plus(team, countUnfinished(team) + 1),
                hosts);
    }

    /** Returns the ledger with an unfinished job changed, or ended by the change. */
    public JobLedger withChanged(JobState job) {
        if (!job.phase().isTerminal()) {
            return new JobLedger(
                    unfinished.plus(job.submission().job(), job), ended, endedOrder, unfinishedByTeam, hosts);
        }
        long number = endedOrder.isEmpty() ? 1 : endedOrder.lastKey() + 1;
        return new JobLedger(
                        unfinished.minus(job.submission().job()),
                        ended.plus(job.submission().job(), job),
                        endedOrder.plus(number, job.submission().job()),
                        decrementUnfinished(job.submission().team()),
                        hosts)
                .withoutOldestEnded();
    }

    /** Returns the ledger with a host changed. */
    public JobLedger withHost(HostName host, JobHostState hostState) {
        return new JobLedger(unfinished, ended, endedOrder, unfinishedByTeam, hosts.plus(host, hostState));
    }

    /** Returns the ledger without hosts that are no longer declared, once there are many of them. */
    public JobLedger withoutUndeclaredHosts(TreePMap<HostName, ?> declared) {
        if (hosts.size() <= declared.size() + MAX_UNDECLARED_HOSTS) {
            return this;
        }
        TreePMap<HostName, JobHostState> kept = hosts;
        for (HostName host : hosts.keySet()) {
            kept = declared.containsKey(host) ? kept : kept.minus(host);
        }
        return new JobLedger(unfinished, ended, endedOrder, unfinishedByTeam, kept);
    }

    private TreePMap<TeamName, Integer> decrementUnfinished(TeamName team) {
        int left = countUnfinished(team) - 1;
        return left <= 0 ? unfinishedByTeam.minus(team) : unfinishedByTeam.plus(team, left);
    }

    private JobLedger withoutOldestEnded() {
        if (endedOrder.size() <= MAX_ENDED) {
            return this;
        }
        Long oldest = endedOrder.firstKey();
        return new JobLedger(
                unfinished, ended.minus(endedOrder.get(oldest)), endedOrder.minus(oldest), unfinishedByTeam, hosts);
    }
}
