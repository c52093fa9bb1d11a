package org.cicadalead.logic.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.model.work.LeaderRecord;

/** Begins terms as {@code LeaderElection} does: by a claim in the store after a resignation or a timeout. */
final class SimulatedElection {
    private static final long LEADER_TIMEOUT_MILLISECONDS = 1_200;
    private static final long MAX_LOAD_MILLISECONDS = 900;
    private static final long NOT_PLANNED = Long.MAX_VALUE;

    private final SimulatedFleet fleet;
    private final List<SimulatedTerm> terms = new ArrayList<>();
    private long observedAt;
    private long runsFrom;
    private long firstReadAt;
    private boolean isRestartedLeader;
    private long claimAt = NOT_PLANNED;
    private boolean claimsWithoutTimeout;

    SimulatedElection(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    List<SimulatedTerm> terms() {
        return terms;
    }

    /** Returns the newest term while its process runs. */
    Optional<SimulatedTerm> leader() {
        return terms.isEmpty()
                ? Optional.empty()
                : Optional.of(terms.get(terms.size() - 1)).filter(term -> !term.hasEnded());
    }

    void advance() {
        if (!fleet.store.isUp(fleet.now())) {
            observedAt = fleet.now();
            return;
        }
        if (fleet.now() < runsFrom) {
            return;
        }
        if (firstReadAt < runsFrom) {
            readFirst();
        }
        observedAt = Math.max(observedAt, fleet.store.leaderStoredAt);
        if (fleet.now() >= claimAt) {
            claimAt = NOT_PLANNED;
            if (claimsWithoutTimeout || canClaim()) {
                claim(50 + fleet.random.nextInt((int) MAX_LOAD_MILLISECONDS));
            }
        } else if (claimAt == NOT_PLANNED && canClaim()) {
            claimAt = fleet.now() + 20 + fleet.random.nextInt(130);
        }
        terms.forEach(SimulatedTerm::advance);
    }

    /** Reads the newest record in a process that has not followed the store. */
    private void readFirst() {
        firstReadAt = fleet.now();
        observedAt = firstReadAt;
        if (isRestartedLeader) {
            claimAfter(0);
        }
    }

    /**
     * Ends all processes at once. Those that start again read the newest record only then, and so count its bounds from
     * that time.
     *
     * @param milliseconds time until the first process reads the store
     * @param isLeaderFirst whether that process is the leader's own next incarnation, which claims at once
     */
    void restartAll(long milliseconds, boolean isLeaderFirst) {
        terms.forEach(SimulatedTerm::crash);
        runsFrom = fleet.now() + milliseconds;
        isRestartedLeader = isLeaderFirst;
        claimAt = NOT_PLANNED;
    }

    private boolean canClaim() {
        return fleet.store.leader.map(LeaderRecord::resigned).orElse(true)
                || fleet.now() - observedAt > LEADER_TIMEOUT_MILLISECONDS;
    }

    /** Lets a process claim the term after a delay, whether the leader has timed out or not. */
    void claimAfter(long delay) {
        claimAt = fleet.now() + delay;
        claimsWithoutTimeout = true;
    }

    /** Begins a term at once; the earlier leader has resigned, or is cut off and works on until its limits. */
    void takeOver() {
        leader().ifPresent(leader -> {
            if (fleet.random.nextBoolean()) {
                leader.resign();
            } else {
                leader.cutOff(500L + fleet.random.nextInt(9_000));
            }
        });
        claimAfter(0);
    }

    /** Begins a term now that has read its data. */
    void beginLoadedTerm() {
        takeOver();
        claimAt = NOT_PLANNED;
        claim(0);
        leader().ifPresent(SimulatedTerm::advance);
    }

    private void claim(long loadMilliseconds) {
        claimsWithoutTimeout = false;
        long readAt = Math.max(fleet.store.leaderStoredAt, firstReadAt);
        Optional<EarlierTerm> earlierTerm = fleet.store.leader.map(leader -> new EarlierTerm(leader, readAt));
        long epoch = fleet.store.leader.map(LeaderRecord::epoch).orElse(0L) + 1;
        SimulatedTerm term = new SimulatedTerm(
                fleet, epoch, fleet.network.chooseConnectedZone(), earlierTerm, fleet.now() + loadMilliseconds);
        terms.add(term);
        fleet.store.appendLeader(term.createRecord(false), fleet.now());
    }
}
