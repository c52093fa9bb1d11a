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
    static final long ATTEMPTS_OF_A_TERM = 10_000;

    final SchedulingTerms terms;
    final long epoch;
    final Map<String, WorkJob> jobs = new LinkedHashMap<>();
    final Map<String, WorkHost> hosts = new HashMap<>();
    final ArrivalRates arrivals = new ArrivalRates();
    /** Questions to the outside policy that are not answered. */
    int openQuestions;

    /** The newest statement on started jobs that is in the store. */
    long publishedGeneration;

    WorkState(SchedulingTerms terms, long epoch) {
        this.terms = terms;
        this.epoch = epoch;
    }

    @Nullable WorkTask find(TaskKey key) {
        WorkJob job = jobs.get(key.job());
        return job == null ? null : job.find(key.occurrence(), key.step(), key.index());
    }

    /** Returns the number of a task's next run. */
    long nextAttempt(WorkTask task) {
        return Math.max(task.lastAttempt, (epoch - 1) * ATTEMPTS_OF_A_TERM) + 1;
    }

    WorkHost host(HostEntry entry) {
        return hosts.computeIfAbsent(entry.identifier(), unseen -> new WorkHost(entry));
    }

    List<WorkHost> hostsOf(String service) {
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
