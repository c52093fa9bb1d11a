package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.TaskKey;
import org.jspecify.annotations.Nullable;

/** Jobs and hosts of one term of the scheduling process. For use by one thread. */
final class WorkState {
    /** Run numbers of one term start above those of the term before, which has fewer runs of any task than this. */
    static final long MAX_ATTEMPTS_PER_TERM = 10_000;

    final SchedulingTerms terms;
    final long epoch;
    final Map<String, WorkJob> jobs = new LinkedHashMap<>();
    final Map<String, WorkHost> hosts = new HashMap<>();
    final ArrivalRates arrivals = new ArrivalRates();
    /** Questions to the outside policy that are not answered. */
    int pendingAdvisorRequests;

    /** The newest statement on started jobs that is in the store. */
    long storedGeneration;

    WorkState(SchedulingTerms terms, long epoch) {
        this.terms = terms;
        this.epoch = epoch;
    }

    @Nullable WorkTask findTask(TaskKey key) {
        WorkJob job = jobs.get(key.job());
        return job == null ? null : job.findTask(key.occurrence(), key.step(), key.index());
    }

    /** Returns the number of a task's next run. */
    long nextAttempt(WorkTask task) {
        return Math.max(task.lastAttempt, (epoch - 1) * MAX_ATTEMPTS_PER_TERM) + 1;
    }

    WorkHost findOrCreateHost(HostEntry entry) {
        return hosts.computeIfAbsent(entry.identifier(), unseen -> new WorkHost(entry));
    }

    List<WorkHost> findHosts(String service) {
        List<WorkHost> found = new ArrayList<>();
        for (WorkHost host : hosts.values()) {
            if (host.entry.service().equals(service)) {
                found.add(host);
            }
        }
        return found;
    }

    static WorkOrder.HostTarget targetOf(WorkHost host) {
        return new WorkOrder.HostTarget(host.identifier, host.entry.address());
    }
}
