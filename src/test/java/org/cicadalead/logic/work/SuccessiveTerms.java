package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.model.work.ActiveRun;
import org.cicadalead.model.work.EndedRun;
import org.cicadalead.model.work.HostEntry;
import org.cicadalead.model.work.LeaderRecord;
import org.cicadalead.model.work.WorkSubmission;

/** Plays terms that follow each other, with the leader's record in the store as the only link between them. */
final class SuccessiveTerms {
    private final Map<String, HostEntry> registry = new HashMap<>();
    private final List<WorkSubmission> submissions = new ArrayList<>();
    private Optional<LeaderRecord> storedRecord = Optional.empty();
    private Optional<LeaderRecord> previousRecord = Optional.empty();
    private long epoch;

    void register(HostEntry... entries) {
        for (HostEntry entry : entries) {
            registry.put(entry.identifier(), entry);
        }
    }

    void unregister(String host) {
        registry.remove(host);
    }

    void submit(WorkSubmission submission) {
        submissions.add(submission);
    }

    /** Stores the claim of the next term, which has read nothing yet. */
    void claim(long now) {
        previousRecord = storedRecord;
        epoch++;
        store(HostsInUse.fromEarlierTerm(previousRecord));
    }

    /** Stores a heartbeat of the claimed term before it has read its data. */
    void repeatClaim(long now) {
        store(HostsInUse.fromEarlierTerm(previousRecord));
    }

    /** Returns the scheduler of the claimed term, which has read its data. */
    WorkScheduler load(long now) {
        EarlierHosts earlier = previousRecord
                .map(record -> EarlierHosts.from(record, registry.values(), WorkFixtures.TERMS))
                .orElse(EarlierHosts.NONE);
        WorkScheduler scheduler = new WorkScheduler(WorkFixtures.TERMS, epoch, earlier, now);
        submissions.forEach(submission -> scheduler.addJob(submission, WorkFixtures.at(now)));
        scheduler.updateHosts(List.copyOf(registry.values()), WorkFixtures.at(now));
        return scheduler;
    }

    /** Stores a heartbeat of a term that schedules. */
    void announce(WorkScheduler scheduler, long now) {
        HostsInUse announcement = scheduler.announceHostsInUse(WorkFixtures.at(now));
        store(announcement);
        scheduler.onAnnouncementStored(announcement.generation());
    }

    private void store(HostsInUse announcement) {
        storedRecord = Optional.of(new LeaderRecord(
                epoch,
                "process-" + epoch,
                "address-" + epoch,
                false,
                announcement.claims(),
                announcement.startedJobs()));
    }

    /** Replies to a poll of each host, none of which lists any run. */
    static void replyWithoutRuns(WorkScheduler scheduler, long now, String... hosts) {
        for (String host : hosts) {
            WorkFixtures.replyToPoll(scheduler, host, now, List.<ActiveRun>of(), List.<EndedRun>of());
        }
    }
}
