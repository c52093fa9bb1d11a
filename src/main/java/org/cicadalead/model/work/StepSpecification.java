package org.cicadalead.model.work;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job. Immutable.
 *
 * @param taskCount number of tasks
 * @param milliCores thousandths of a core for each task
 * @param memoryMegabytes memory for each task in megabytes
 * @param accelerators accelerators for each task
 * @param estimatedMilliseconds estimated duration of a task in milliseconds
 * @param dependsOn numbers of the steps that must be done first
 * @param checkpointing whether a task saves its progress
 * @param gang whether the tasks run only all together
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel label that a host must have
 * @param preferredRack rack that holds the data
 * @param maximumPerHost maximum number of tasks of the step on one host, 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image image that the tasks run
 * @param tailTargetMilliseconds maximum tail latency of a serving task in milliseconds, 0 for none
 * @param usesSpareCapacity whether the tasks use only capacity that other tasks leave idle
 * @param maximumUnavailable maximum number of tasks that the system may make unavailable at once, 0 for no limit
 */
public record StepSpecification(
        int taskCount,
        long milliCores,
        long memoryMegabytes,
        long accelerators,
        long estimatedMilliseconds,
        List<Integer> dependsOn,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        Optional<String> requiredLabel,
        Optional<String> preferredRack,
        int maximumPerHost,
        boolean speculative,
        boolean longRunning,
        Optional<String> image,
        long tailTargetMilliseconds,
        boolean usesSpareCapacity,
        int maximumUnavailable) {
    /** Copies the list. */
    public StepSpecification {
        dependsOn = List.copyOf(dependsOn);
    }

    /** Returns the capacity that one task takes on a host. */
    public HostCapacity requiredCapacity() {
        return new HostCapacity(usesSpareCapacity ? 0 : milliCores, memoryMegabytes, accelerators);
    }

    /** Returns the capacity with which one task counts against the limit of its account. */
    public HostCapacity declaredCapacity() {
        return new HostCapacity(milliCores, memoryMegabytes, accelerators);
    }

    /** Returns whether its tasks may not run on every host that has the required capacity. */
    public boolean restrictsHosts() {
        return requiredLabel.isPresent() || maximumPerHost > 0;
    }

    /** Returns whether its tasks serve requests under a tail latency target. */
    public boolean hasTailTarget() {
        return tailTargetMilliseconds > 0;
    }

    /** Returns the work of one task in core-milliseconds. */
    public double coreMilliseconds() {
        return milliCores / 1000.0 * estimatedMilliseconds;
    }
}
