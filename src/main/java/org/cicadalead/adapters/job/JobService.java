package org.cicadalead.adapters.job;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.cicadalead.adapters.replica.SharedStateReplica;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.JobCommand;
import org.cicadalead.model.event.EventDetail;
import org.cicadalead.model.event.EventKind;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.state.SharedState;
import org.cicadalead.ports.EventSink;
import org.cicadalead.ports.PlacementControl;
import org.cicadalead.ports.TaskPlatform;
import org.cicadalead.ports.TimerService;

/**
 * Provides the long jobs of one entry process: submitter, routes, events and the runner's thread. Safe for use by
 * several threads.
 */
public final class JobService implements PlacementControl, AutoCloseable {
    private static final Duration ACTIVE_INTERVAL = Duration.ofMillis(500);
    private static final Duration STANDBY_INTERVAL = Duration.ofSeconds(2);

    private final SharedStateReplica replica;
    private final JobRoutes routes;
    private final JobRunner runner;
    private final EventSink events;
    private final Semaphore signals = new Semaphore(0);
    private final Thread thread = new Thread(this::run, "job-runner");
    private volatile boolean closed;

    /** Creates the service and starts its runner. */
    public JobService(
            ProcessIdentifier self,
            SharedStateReplica replica,
            TaskPlatform platform,
            CommandSink commands,
            EventSink events,
            TimerService timers) {
        this.replica = replica;
        this.events = events;
        JobSubmitter submitter = new JobSubmitter(replica::state, commands, timers);
        this.routes = new JobRoutes(replica::state, submitter, events);
        this.runner = new JobRunner(self, replica::state, platform, commands, events, timers);
        replica.addListener(submitter);
        replica.addListener(runner);
        replica.addListener(new JobEvents(self, events));
        replica.addListener(this::onFolded);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the HTTP routes. */
    public JobRoutes routes() {
        return routes;
    }

    /**
     * Returns the number of jobs that may have a task on a host, whichever process placed them. A move or a reboot
     * waits until it is 0.
     */
    @Override
    public int countInFlight(HostName host) {
        return replica.state().jobs().countJobsOn(host);
    }

    /** Does nothing: tasks run on the platform, and late starts are fenced by their epochs. */
    @Override
    public void closeConnections(HostName host) {
        // This process has no connections to tasks.
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        routes.close();
    }

    /** Wakes the runner after every command on jobs, as it may have to act on it. */
    private void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isPresent() && envelope.get().command() instanceof JobCommand) {
            signals.release();
        }
    }

    private void run() {
        long lastIteration = System.nanoTime();
        while (!closed) {
            try {
                Duration interval = runner.isActive() ? ACTIVE_INTERVAL : STANDBY_INTERVAL;
                boolean isSignalled = awaitSignal(lastIteration + interval.toNanos());
                if (!isSignalled || runner.isActive()) {
                    lastIteration = System.nanoTime();
                    runner.runOnce();
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException failure) {
                events.emit(EventKind.INTERNAL_FAILURE, Optional.empty(), EventDetail.of("failure", failure));
            }
        }
    }

    /**
     * Waits for a signal until the next iteration is due. Returns false if it is due. The time is that of
     * {@link System#nanoTime}.
     */
    private boolean awaitSignal(long due) throws InterruptedException {
        long remainingNanoseconds = due - System.nanoTime();
        boolean isSignalled = signals.tryAcquire(Math.max(0, remainingNanoseconds), TimeUnit.NANOSECONDS);
        signals.drainPermits();
        return isSignalled && due - System.nanoTime() > 0;
    }
}
