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
 * Rollout progress of a configuration version. An accepted version is not yet in force in every member: a member that
 * does not respond may still serve requests under an older version, so it counts as missing until it has reported the
 * offset or has left the membership. Immutable.
 *
 * @param version offset at which the configuration was accepted
 * @param inForceEverywhere whether every member has applied the version
 * @param zonesMissing availability zones with at least one member that has not applied the version
 * @param processes progress of every member
 */
public record ConfigurationProgress(
        long version, boolean inForceEverywhere, SortedSet<ZoneName> zonesMissing, List<ProcessProgress> processes) {
    /** Copies the collections. */
    public ConfigurationProgress {
        zonesMissing = new TreeSet<>(zonesMissing);
        processes = List.copyOf(processes);
    }

    /** Computes the progress from the newest state and the observed applied offsets of the members. */
    public static ConfigurationProgress of(
            SharedState state, long version, Map<ProcessIdentifier, ProcessObservation> observations) {
        List<ProcessProgress> processes = new ArrayList<>();
        SortedSet<ZoneName> zonesMissing = new TreeSet<>();
        for (Member member : state.members().values()) {
            Optional<ProcessObservation> observation = Optional.ofNullable(observations.get(member.process()));
            long appliedOffset =
                    observation.map(ProcessObservation::appliedOffset).orElse(0L);
            boolean inForce = appliedOffset >= version;
            processes.add(new ProcessProgress(
                    member.process(),
                    member.zone(),
                    appliedOffset,
                    observation.map(ProcessObservation::reachable).orElse(false),
                    inForce));
            if (!inForce) {
                zonesMissing.add(member.zone());
            }
        }
        return new ConfigurationProgress(
                version, zonesMissing.isEmpty() && state.offset() >= version, zonesMissing, processes);
    }

    /**
     * Last observation of a process.
     *
     * @param appliedOffset offset of its shared state when it last reported
     * @param reachable whether its reports arrive in time
     */
    public record ProcessObservation(long appliedOffset, boolean reachable) {}

    /**
     * A member's progress.
     *
     * @param process the process
     * @param zone its availability zone
     * @param appliedOffset offset of its shared state when it last reported; 0 when it never did
     * @param reachable whether its reports arrive in time
     * @param inForce whether it has applied the version
     */
    public record ProcessProgress(
            ProcessIdentifier process, ZoneName zone, long appliedOffset, boolean reachable, boolean inForce) {}
}
