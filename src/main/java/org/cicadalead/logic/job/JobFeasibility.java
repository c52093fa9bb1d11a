package org.cicadalead.logic.job;

import java.util.Optional;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.PoolDefinition;
import org.cicadalead.model.configuration.PoolDefinition.HostReference;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.state.SharedState;

/** Checks whether any host of a job's pool is large enough for the job. Stateless; safe for use by several threads. */
final class JobFeasibility {
    private JobFeasibility() {}

    /** Returns the reason why no host of the pool is large enough for the job, with the sizes; empty if one is. */
    static Optional<String> explainInfeasibility(SharedState state, JobSubmission submission) {
        FleetConfiguration configuration = state.configuration().merged();
        PoolDefinition pool = configuration.pools().get(submission.pool());
        if (pool == null) {
            return Optional.of("There is no pool '" + submission.pool() + "'");
        }
        JobSize largest = JobSize.NONE;
        for (HostReference reference : pool.hosts()) {
            HostDefinition host = configuration.hosts().get(reference.host());
            if (submission.size().fitsInto(JobSize.of(host))) {
                return Optional.empty();
            }
            largest = largest.max(JobSize.of(host));
        }
        return explainInfeasibilityOnCurrentHosts(state, submission, largest);
    }

    private static Optional<String> explainInfeasibilityOnCurrentHosts(
            SharedState state, JobSubmission submission, JobSize largestDeclared) {
        JobSize largest = largestDeclared;
        for (HostState host : state.hosts().values()) {
            Optional<JobSize> size =
                    host.pool().equals(submission.pool()) ? findDeclaredSize(state, host.name()) : Optional.empty();
            if (size.filter(submission.size()::fitsInto).isPresent()) {
                return Optional.empty();
            }
            largest = largest.max(size.orElse(JobSize.NONE));
        }
        return Optional.of(describe(submission, submission.pool(), largest));
    }

    private static String describe(JobSubmission submission, PoolName pool, JobSize largest) {
        return "The job needs " + submission.size() + "; no single host of the pool '" + pool
                + "' has all of that, and " + "the most that its hosts have of each is " + largest
                + ". Ask for less, or for another pool";
    }

    /** Returns the declared size of a host. */
    static Optional<JobSize> findDeclaredSize(SharedState state, HostName host) {
        return Optional.ofNullable(state.configuration().merged().hosts().get(host))
                .map(JobSize::of);
    }
}
