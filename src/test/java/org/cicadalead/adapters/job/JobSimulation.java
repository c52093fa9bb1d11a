package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadalead.adapters.standin.TaskStandIn;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.JobIdentifier;
import org.cicadalead.model.job.JobState;
import org.cicadalead.model.job.JobSubmission;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.support.Commands;
import org.cicadalead.support.JobFleet;
import org.cicadalead.support.ManualTimerService;

/** Simulates several processes, the log and the platform's tasks in virtual time. Not thread-safe. */
final class JobSimulation {
    private static final int HOSTS = 4;
    private static final int PROCESSES = 3;
    private static final Duration TIME_STEP = Duration.ofMillis(150);
    private static final Duration RECOVERY_TIME_STEP = Duration.ofSeconds(3);
    private static final int MAX_RECOVERY_ITERATIONS = 400;
    private static final Duration IGNORED_STOP_DELAY = Duration.ofSeconds(2);

    final ManualTimerService timers = new ManualTimerService();
    final TaskStandIn tasks = new TaskStandIn(timers::nanoTime);
    final List<CommandEnvelope> log = new ArrayList<>();
    final JobSimulationMutation mutation;
    final Map<JobIdentifier, JobSubmission> submitted = new HashMap<>();
    final Map<JobIdentifier, JobState> firstOutcomes = new HashMap<>();
    final List<String> changedOutcomes = new ArrayList<>();
    boolean logDown;
    boolean logLosesReplies;
    private final List<SimulatedJobProcess> processes = new ArrayList<>();
    private SharedState committedState = SharedState.empty();
    private int processesStarted;

    JobSimulation(JobSimulationMutation mutation) {
        this.mutation = mutation;
        tasks.setRunTime(Duration.ofMillis(500));
        tasks.setFencing(mutation != JobSimulationMutation.NO_FENCE);
        append(Commands.envelope("configuration", 0, JobFleet.createConfiguration(HOSTS, HOSTS))
                .orElseThrow());
        for (int number = 0; number < PROCESSES; number++) {
            processes.add(newProcess());
        }
    }

    SharedState committedState() {
        return committedState;
    }

    List<SharedState> replicas() {
        return processes.stream().map(process -> process.replica.state()).toList();
    }

    void append(CommandEnvelope envelope) {
        log.add(envelope);
        committedState = SharedStateFold.apply(committedState, log.size(), Optional.of(envelope))
                .state();
        firstOutcomes.forEach((job, outcome) -> committedState
                .jobs()
                .find(job)
                .filter(current -> !current.equals(outcome))
                .ifPresent(current -> changedOutcomes.add(outcome + " became " + current)));
        committedState.jobs().ended().forEach(firstOutcomes::putIfAbsent);
    }

    void apply(JobSimulationStep step) {
        int number = step.number();
        SimulatedJobProcess process = processes.get(number % PROCESSES);
        switch (step.kind()) {
            case ADVANCE -> timers.advance(TIME_STEP.multipliedBy(1 + number % 10));
            case RUN_PROCESS -> process.runner.runOnce();
            case READ_ONE_RECORD -> process.read(1);
            case READ_ALL_RECORDS -> process.read(log.size());
            case SUBMIT -> submit(submitted.size());
            case SUBMIT_AGAIN -> submit(number % Math.max(1, submitted.size()));
            case CANCEL -> write(new JobCommand.Cancel(List.of(JobFleet.job(number % Math.max(1, submitted.size())))));
            case CANCEL_ALL -> write(new JobCommand.Cancel(List.copyOf(submitted.keySet())));
            case PAUSE_PROCESS -> process.pause();
            case RESUME_PROCESS -> process.resume();
            case REPLACE_PROCESS -> processes.set(number % PROCESSES, newProcess());
            case LOG_DOWN -> logDown = true;
            case LOG_LOSES_REPLIES -> logLosesReplies = true;
            case LOG_UP -> {
                logDown = false;
                logLosesReplies = false;
            }
            default -> applyToPlatform(step.kind(), number);
        }
    }

    private void applyToPlatform(JobSimulationStep.Kind kind, int number) {
        var host = JobFleet.host(number % HOSTS);
        switch (kind) {
            case LOSE_LEASES -> tasks.setUnreachable(host, true);
            case RETURN_LEASES -> tasks.setUnreachable(host, false);
            case CRASH_HOST -> tasks.crash(host);
            case FAIL_EVERYTHING -> tasks.setFailing(host, true);
            case FAIL_NOTHING -> tasks.setFailing(host, false);
            case HOST_DOWN -> observe(number, HostHealth.DOWN);
            case HOST_LEAVING -> observe(number, HostHealth.LEAVING);
            case HOST_UP -> observe(number, HostHealth.UP);
            case LOSE_REPLY -> tasks.loseReplies(1 + number % 2);
            case IGNORE_STOPS -> tasks.setStopDelay(IGNORED_STOP_DELAY);
            case OBEY_STOPS -> tasks.setStopDelay(Duration.ZERO);
            case TASKS_DOWN -> tasks.setAvailable(false);
            case TASKS_UP -> tasks.setAvailable(true);
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    /** Ends every fault and runs the processes until all jobs have ended or 400 iterations have passed. */
    void recover() {
        logDown = false;
        logLosesReplies = false;
        tasks.setAvailable(true);
        tasks.loseReplies(0);
        tasks.setStopDelay(Duration.ZERO);
        processes.forEach(SimulatedJobProcess::resume);
        for (int host = 0; host < HOSTS; host++) {
            tasks.setUnreachable(JobFleet.host(host), false);
            tasks.setFailing(JobFleet.host(host), false);
            observe(host, HostHealth.UP);
        }
        for (int iteration = 0;
                iteration < MAX_RECOVERY_ITERATIONS
                        && !committedState.jobs().unfinished().isEmpty();
                iteration++) {
            timers.advance(RECOVERY_TIME_STEP);
            processes.forEach(process -> {
                process.read(log.size());
                process.runner.runOnce();
            });
        }
        processes.forEach(process -> process.read(log.size()));
    }

    /**
     * Submits a job; every third job is idempotent. The expected submission is recorded separately, as a mutation may
     * change what is submitted.
     */
    private void submit(int number) {
        boolean idempotent = number % 3 == 2;
        JobSubmission expected = number % 7 == 6
                ? JobFleet.createFailingSubmission(number)
                : JobFleet.createSubmission(number, idempotent);
        boolean isMutated = mutation == JobSimulationMutation.LAPSED_LEASE_TAKEN_FOR_STOP;
        if (!logDown) {
            submitted.put(expected.job(), expected);
            write(new JobCommand.Submit(List.of(isMutated ? JobFleet.createSubmission(number, true) : expected)));
        }
    }

    private void observe(int number, HostHealth health) {
        HostState host = committedState.hosts().get(JobFleet.host(number % HOSTS));
        write(new FleetCommand.Observe(List.of(new FleetCommand.HostObservation(host.name(), host.version(), health))));
    }

    private void write(Command command) {
        if (!logDown) {
            append(Commands.envelope("caller-" + log.size(), log.size(), command)
                    .orElseThrow());
        }
    }

    private SimulatedJobProcess newProcess() {
        return new SimulatedJobProcess(this, "process-" + processesStarted++);
    }
}
