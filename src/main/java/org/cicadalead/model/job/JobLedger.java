package org.cicadalead.model.job;

import java.util.Optional;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.TeamName;
import org.pcollections.TreePMap;

/**
 * Holds all long jobs of the shared state. A job is in exactly one of the two maps. The newest ended jobs are kept so
 * that their callers can read the outcome; above the limit, the oldest one is removed for each job that ends.
 * Immutable; the maps are persistent.
 *
 * @param unfinished accepted jobs that have not ended
 * @param ended ended jobs with their outcome
 * @param endedOrder ended jobs in the order in which they ended, numbered from 1
 * @param unfinishedByTeam number of unfinished jobs of each team that has any
 * @param hosts job-related state of the hosts
 */
public record JobLedger(
        TreePMap<JobIdentifier, JobState> unfinished,
        TreePMap<JobIdentifier, JobState> ended,
        TreePMap<Long, JobIdentifier> endedOrder,
        TreePMap<TeamName, Integer> unfinishedByTeam,
        TreePMap<HostName, JobHostState> hosts) {
    /** Maximum number of ended jobs that are kept. */
    public static final int MAX_ENDED = 10_000;

    /** Maximum number of unfinished jobs of all teams together, which bounds the memory of every process. */
    public static final int MAX_UNFINISHED = 30_000;

    private static final int MAX_UNDECLARED_HOSTS = 64;

    /** Returns the ledger before the first job. */
    public static JobLedger empty() {
        return new JobLedger(TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty(), TreePMap.empty());
    }

    /** Returns a job, whether it has ended or not; empty if it is unknown or was removed. */
    public Optional<JobState> find(JobIdentifier job) {
        JobState unfinishedJob = unfinished.get(job);
        return Optional.ofNullable(unfinishedJob == null ? ended.get(job) : unfinishedJob);
    }

    /** Returns the number of unfinished jobs of a team. */
    public int countUnfinished(TeamName team) {
        return unfinishedByTeam.getOrDefault(team, 0);
    }

    /** Returns the job-related state of a host. */
    public JobHostState host(HostName host) {
        return hosts.getOrDefault(host, JobHostState.UNUSED);
    }

    /** Returns the number of jobs that may have a task on a host. */
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

    /** Returns the ledger with an unfinished job replaced; a job in a terminal phase moves to the ended jobs. */
    public JobLedger withChanged(JobState job) {
        if (!job.phase().isTerminal()) {
            return new JobLedger(
                    unfinished.plus(job.submission().job(), job), ended, endedOrder, unfinishedByTeam, hosts);
        }
        long endNumber = endedOrder.isEmpty() ? 1 : endedOrder.lastKey() + 1;
        return new JobLedger(
                        unfinished.minus(job.submission().job()),
                        ended.plus(job.submission().job(), job),
                        endedOrder.plus(endNumber, job.submission().job()),
                        decrementUnfinished(job.submission().team()),
                        hosts)
                .withoutOldestEnded();
    }

    /** Returns the ledger with the state of a host replaced. */
    public JobLedger withHost(HostName host, JobHostState hostState) {
        return new JobLedger(unfinished, ended, endedOrder, unfinishedByTeam, hosts.plus(host, hostState));
    }

    /**
     * Returns the ledger without hosts that are no longer declared, once more than 64 hosts beyond the number of
     * declared ones have accumulated.
     */
    public JobLedger withoutUndeclaredHosts(TreePMap<HostName, ?> declared) {
        if (hosts.size() <= declared.size() + MAX_UNDECLARED_HOSTS) {
            return this;
        }
        TreePMap<HostName, JobHostState> keptHosts = hosts;
        for (HostName host : hosts.keySet()) {
            keptHosts = declared.containsKey(host) ? keptHosts : keptHosts.minus(host);
        }
        return new JobLedger(unfinished, ended, endedOrder, unfinishedByTeam, keptHosts);
    }

    private TreePMap<TeamName, Integer> decrementUnfinished(TeamName team) {
        int remaining = countUnfinished(team) - 1;
        return remaining <= 0 ? unfinishedByTeam.minus(team) : unfinishedByTeam.plus(team, remaining);
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
