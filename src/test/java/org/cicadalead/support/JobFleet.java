package org.cicadalead.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.job.JobFold;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.identity.PoolName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.job.JobReport;
import org.cicadalead.model.job.JobReportKind;
import org.cicadalead.model.job.JobSize;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.job.StopReason;
import org.cicadalead.model.state.SharedState;

/** Provides a pool of hosts and two teams, folded from commands, for tests of long jobs. For use by one thread. */
public final class JobFleet {
    public static final PoolName POOL = new PoolName("batch");
    public static final int PROCESSORS = 8;
    public static final int MEMORY_GIGABYTES = 32;
    public static final int QUOTA = 40;

    private SharedState state = SharedState.empty();

    public JobFleet(int hosts) {
        this(hosts, hosts);
    }

    /** Creates a pool in which the hosts from {@code firstSmallHost} on have a quarter of the full size. */
    public JobFleet(int hosts, int firstSmallHost) {
        apply(createConfiguration(hosts, firstSmallHost));
    }

    public static Publish createConfiguration(int hosts, int firstSmallHost) {
        StringBuilder text = new StringBuilder();
        text.append("[[zone]]\nname = \"zone\"\nregion = \"region\"\n");
        List<String> names = new ArrayList<>();
        for (int number = 0; number < hosts; number++) {
            names.add("\"" + host(number) + "\"");
            text.append("[[host]]\nname = \"").append(host(number)).append("\"\nzone = \"zone\"\nrack = \"rack-");
            text.append(number / 4).append("\"\naddress = \"127.0.0.1:").append(21_000 + number);
            int sizeDivisor = number < firstSmallHost ? 1 : 4;
            text.append("\"\nprocessors = ").append(PROCESSORS / sizeDivisor);
            text.append("\nmemory-gigabytes = ")
                    .append(MEMORY_GIGABYTES / sizeDivisor)
                    .append("\n");
        }
        text.append("[[pool]]\nname = \"batch\"\nhosts = [")
                .append(String.join(", ", names))
                .append("]\n");
        text.append("[[team]]\nname = \"red\"\nshare = 1\njob-quota = 40\n");
        text.append("[[team]]\nname = \"blue\"\nshare = 3\njob-quota = 40\n");
        return Commands.publish(Commands.change(Commands.unit("fleet.toml", text.toString()), 0));
    }

    public static HostName host(int number) {
        return new HostName("host-" + number);
    }

    public static JobIdentifier job(int number) {
        return new JobIdentifier("job-" + number);
    }

    public static JobSubmission createSubmission(int number, boolean idempotent) {
        return createSubmission(number, "red", new JobSize(2, 4, 0), JobSubmission.DEFAULT_URGENCY, idempotent);
    }

    public static JobSubmission createSubmission(
            int number, String team, JobSize size, int urgency, boolean idempotent) {
        return new JobSubmission(
                job(number), new TeamName(team), POOL, size, urgency, idempotent, "run-milliseconds=500");
    }

    public static JobSubmission createFailingSubmission(int number) {
        return new JobSubmission(
                job(number), new TeamName("red"), POOL, new JobSize(2, 4, 0), 3, false, "always-fails");
    }

    public SharedState state() {
        return state;
    }

    public JobState jobState(int number) {
        return state.jobs().find(job(number)).orElseThrow();
    }

    public CommandOutcome apply(Command command) {
        long offset = state.offset() + 1;
        var result =
                SharedStateFold.apply(state, offset, Commands.envelope("command-" + offset, state.offset(), command));
        state = result.state();
        return result.outcome();
    }

    /** Applies a command on jobs and returns the outcome of its first entry. */
    public CommandOutcome applyAndReturnFirstOutcome(JobCommand command) {
        CommandOutcome outcome =
                JobFold.fold(state, state.offset() + 1, command).outcomes().get(0);
        apply(command);
        return outcome;
    }

    public CommandOutcome submit(JobSubmission submission) {
        return applyAndReturnFirstOutcome(new JobCommand.Submit(List.of(submission)));
    }

    public CommandOutcome place(int job, int host) {
        long lastPlacement = state.jobs().host(host(host)).lastPlacement();
        return applyAndReturnFirstOutcome(new JobCommand.Place(
                List.of(new JobCommand.Placement(job(job), jobState(job).version(), host(host), lastPlacement))));
    }

    public CommandOutcome report(int job, int epoch, JobReportKind kind) {
        return applyAndReturnFirstOutcome(
                new JobCommand.Report(List.of(new JobReport(job(job), epoch, kind, Optional.of("detail")))));
    }

    public CommandOutcome stop(int job, int epoch, StopReason reason) {
        return applyAndReturnFirstOutcome(
                new JobCommand.RequestStop(List.of(new JobCommand.Stop(job(job), epoch, reason))));
    }

    public CommandOutcome cancel(int job) {
        return applyAndReturnFirstOutcome(new JobCommand.Cancel(List.of(job(job))));
    }

    public CommandOutcome observe(int host, HostHealth health) {
        long version = state.hosts().get(host(host)).version();
        return apply(new FleetCommand.Observe(List.of(new FleetCommand.HostObservation(host(host), version, health))));
    }
}
