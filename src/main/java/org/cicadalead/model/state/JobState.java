package org.cicadalead.model.state;

import org.cicadalead.model.command.JobCommand;

/**
 * A long job in the shared state. Immutable.
 *
 * @param submission what was submitted
 * @param version offset of the record that last changed it
 * @param phase its phase
 */
public record JobState(JobCommand.Submit submission, long version, JobPhase phase) {}
