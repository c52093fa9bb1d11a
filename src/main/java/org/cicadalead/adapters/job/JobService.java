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
 * The long jobs of one entry process: submitter, routes, events and a thread for the runner. Safe for several threads.
 */
public final class JobService implements PlacementControl, AutoCloseable {
    private static final Duration ACTING_PERIOD = Duration.ofMillis(500);
    private static final Duration STANDBY_PERIOD = Duration.ofSeconds(2);

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

    /** Returns the routes. */
    public JobRoutes routes() {
        return routes;
    }

    /**
     * Returns the number of jobs of which a task may exist on a host, whichever process placed them; a move or a reboot
     * waits until there is none.
     */
    @Override
    public int countInFlight(HostName host) {
        return replica.state().jobs().jobsOn(host);
    }

    /** Does nothing: tasks are the platform's, and late starts are fenced by their epochs. */
    @Override
    public void closeConnections(HostName host) {
        // No connection of this process leads to a task.
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        routes.close();
    }

    /** A step that this process may act on next wakes the runner. */
    private void onFolded(
            SharedState before, SharedState after, Optional<CommandEnvelope> envelope, CommandOutcome outcome) {
        if (envelope.isPresent() && envelope.get().command() instanceof JobCommand) {
            signals.release();
        }
    }

    private void run() {
        long lastRound = System.nanoTime();
        while (!closed) {
            try {
                Duration period = runner.isActing() ? ACTING_PERIOD : STANDBY_PERIOD;
                boolean signalled = awaitSignal(lastRound + period.toNanos());
                if (!signalled || runner.isActing()) {
                    lastRound = System.nanoTime();
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

    /** Waits for a signal until the next round is due; false when it is due. */
    private boolean awaitSignal(long due) throws InterruptedException {
        long left = due - System.nanoTime();
        boolean signalled = signals.tryAcquire(Math.max(0, left), TimeUnit.NANOSECONDS);
        signals.drainPermits();
        return signalled && due - System.nanoTime() > 0;
    }
}
