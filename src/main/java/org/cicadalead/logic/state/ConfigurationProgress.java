package org.cicadalead.logic.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.Member;
import org.cicadalead.model.state.SharedState;

/**
 * How far a configuration has come: accepted in the log is one thing, in force in every member another. A member that
 * does not answer may still be serving, so it counts as missing until it has reported the offset or has left the
 * membership. Immutable.
 *
 * @param version offset that the configuration was accepted at
 * @param inForceEverywhere whether every member has applied the version
 * @param zonesMissing availability zones with a member that has not applied it
 * @param processes every member
 */
public record ConfigurationProgress(
        long version, boolean inForceEverywhere, SortedSet<ZoneName> zonesMissing, List<ProcessProgress> processes) {
    /** Copies the collections. */
    public ConfigurationProgress {
        zonesMissing = new TreeSet<>(zonesMissing);
        processes = List.copyOf(processes);
    }

    /** Computes the progress from the newest state and what is known of the members' applied offsets. */
    public static ConfigurationProgress of(
            SharedState state, long version, Map<ProcessIdentifier, ProcessObservation> sightings) {
        List<ProcessProgress> processes = new ArrayList<>();
        SortedSet<ZoneName> missing = new TreeSet<>();
        for (Member member : state.members().values()) {
            Optional<ProcessObservation> sighting = Optional.ofNullable(sightings.get(member.process()));
            long applied = sighting.map(ProcessObservation::appliedOffset).orElse(0L);
            boolean inForce = applied >= version;
            processes.add(new ProcessProgress(
                    member.process(),
                    member.zone(),
                    applied,
                    sighting.map(ProcessObservation::reachable).orElse(false),
                    inForce));
            if (!inForce) {
                missing.add(member.zone());
            }
        }
        return new ConfigurationProgress(version, missing.isEmpty() && state.offset() >= version, missing, processes);
    }

    /**
     * What is known of a process.
     *
     * @param appliedOffset offset of its shared state when it last reported
     * @param reachable whether it reports in time
     */
    public record ProcessObservation(long appliedOffset, boolean reachable) {}

    /**
     * A member's progress.
     *
     * @param process the process
     * @param zone its availability zone
     * @param appliedOffset offset of its shared state when it last reported; 0 when it never did
     * @param reachable whether it reports in time
     * @param inForce whether it has applied the version
     */
    public record ProcessProgress(
            ProcessIdentifier process, ZoneName zone, long appliedOffset, boolean reachable, boolean inForce) {}
}
