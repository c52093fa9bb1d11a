package org.cicadalead.model.state;

import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.job.JobLedger;
import org.pcollections.TreePMap;

/**
 * State that all processes share: the result of folding the platform log up to an offset. Two processes that have
 * folded the same records have equal states. Immutable; the maps are persistent, so a new state shares most of its
 * structure with the old one.
 *
 * @param offset offset of the last folded record; 0 before the first record, as the log starts at offset 1
 * @param configuration the accepted configuration
 * @param members entry processes that may place work
 * @param hosts hosts by name
 * @param jobs long jobs and the job-related state of hosts
 * @param waves maintenance waves by identifier
 * @param commands recently folded commands with their offsets, used to drop duplicates
 * @param checkpoint state of the checkpoints in the log
 */
public record SharedState(
        long offset,
        ConfigurationState configuration,
        TreePMap<ProcessIdentifier, Member> members,
        TreePMap<HostName, HostState> hosts,
        JobLedger jobs,
        TreePMap<WaveIdentifier, WaveState> waves,
        CommandWindow commands,
        CheckpointState checkpoint) {
    /** Returns the state before the first record. */
    public static SharedState empty() {
        return new SharedState(
                0,
                ConfigurationState.empty(),
                TreePMap.empty(),
                TreePMap.empty(),
                JobLedger.empty(),
                TreePMap.empty(),
                CommandWindow.empty(),
                CheckpointState.empty());
    }

    /** Returns this state at another offset. */
    public SharedState withOffset(long newOffset) {
        return new SharedState(newOffset, configuration, members, hosts, jobs, waves, commands, checkpoint);
    }

    /** Returns this state with another configuration. */
    public SharedState withConfiguration(ConfigurationState newConfiguration) {
        return new SharedState(offset, newConfiguration, members, hosts, jobs, waves, commands, checkpoint);
    }

    /** Returns this state with other members. */
    public SharedState withMembers(TreePMap<ProcessIdentifier, Member> newMembers) {
        return new SharedState(offset, configuration, newMembers, hosts, jobs, waves, commands, checkpoint);
    }

    /** Returns this state with other hosts. */
    public SharedState withHosts(TreePMap<HostName, HostState> newHosts) {
        return new SharedState(offset, configuration, members, newHosts, jobs, waves, commands, checkpoint);
    }

    /** Returns this state with one host changed. */
    public SharedState withHost(HostState host) {
        return withHosts(hosts.plus(host.name(), host));
    }

    /** Returns this state with other jobs. */
    public SharedState withJobs(JobLedger newJobs) {
        return new SharedState(offset, configuration, members, hosts, newJobs, waves, commands, checkpoint);
    }

    /** Returns this state with other maintenance waves. */
    public SharedState withWaves(TreePMap<WaveIdentifier, WaveState> newWaves) {
        return new SharedState(offset, configuration, members, hosts, jobs, newWaves, commands, checkpoint);
    }

    /** Returns this state with one maintenance wave changed. */
    public SharedState withWave(WaveState wave) {
        return withWaves(waves.plus(wave.wave(), wave));
    }

    /** Returns this state with other remembered commands. */
    public SharedState withCommands(CommandWindow newCommands) {
        return new SharedState(offset, configuration, members, hosts, jobs, waves, newCommands, checkpoint);
    }

    /** Returns this state with other checkpoints. */
    public SharedState withCheckpoint(CheckpointState newCheckpoint) {
        return new SharedState(offset, configuration, members, hosts, jobs, waves, commands, newCheckpoint);
    }
}
