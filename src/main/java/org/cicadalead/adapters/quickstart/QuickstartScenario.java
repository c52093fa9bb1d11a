package org.cicadalead.adapters.quickstart;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;
import org.cicadalead.model.identity.WaveIdentifier;

/**
 * Runs a short scenario against an example deployment: one service after the other has a demand peak, the configuration
 * is changed, a maintenance wave runs, an entry process is replaced and a rack fails. For use by one thread, which
 * starts the threads of the callers.
 */
public final class QuickstartScenario {
    private static final int CALLERS_PER_SERVICE = 10;
    private static final double MEAN_PAUSE_MILLISECONDS = 50;
    private static final double BURST_FACTOR = 5;
    private static final double OFF_PEAK_FACTOR = 0.05;
    private static final int PHASE_COUNT = 4;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long POLL_INTERVAL_MILLISECONDS = 20;
    private static final Duration WAVE_TIMEOUT = Duration.ofSeconds(60);
    private static final WaveIdentifier WAVE = new WaveIdentifier("quickstart-wave");

    private final QuickstartFleet fleet;
    private final Duration duration;
    private final Consumer<String> progress;
    private final CallerLedger ledger = new CallerLedger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean running = true;
    private volatile int burstingServiceIndex;

    /** Creates a scenario of the given duration; {@code progress} receives one line for each step. */
    public QuickstartScenario(QuickstartFleet fleet, Duration duration, Consumer<String> progress) {
        this.fleet = fleet;
        this.duration = duration;
        this.progress = progress;
    }

    /** Runs the scenario and returns what callers and workers counted. */
    public QuickstartReport run() {
        FleetMonitor monitor = new FleetMonitor(fleet);
        Thread monitorThread = startThread(monitor, "fleet-watch");
        List<Thread> callers = startCallers();
        long phaseMilliseconds = duration.toMillis() / PHASE_COUNT;
        List<RackName> racks = fleet.racks();
        pause(phaseMilliseconds);
        progress.accept("publishing a configuration change");
        double inForceSeconds = publishConfigurationChange();
        startNextBurst();
        progress.accept("maintenance wave over the rack " + racks.get(0));
        long waveStart = System.nanoTime();
        fleet.startWave(WAVE, racks.get(0));
        pause(phaseMilliseconds);
        progress.accept("replacing an entry process");
        int unfinishedRequests = fleet.replaceEntry(
                fleet.entries().get(0), fleet.deployment().zones().get(0));
        progress.accept("entry process replaced, " + unfinishedRequests + " requests left behind");
        startNextBurst();
        Optional<Double> waveSeconds = awaitWave(waveStart);
        RackName failedRack = racks.get(racks.size() - 1);
        progress.accept("the rack " + failedRack + " fails: " + fleet.failRack(failedRack) + " hosts at once");
        pause(phaseMilliseconds);
        startNextBurst();
        pause(phaseMilliseconds);
        running = false;
        callers.forEach(QuickstartScenario::join);
        monitor.close();
        join(monitorThread);
        return createReport(inForceSeconds, waveSeconds, monitor);
    }

    private Optional<Double> awaitWave(long startNanoseconds) {
        long deadline = System.nanoTime() + WAVE_TIMEOUT.toNanos();
        while (!fleet.isWaveFinished(WAVE)) {
            if (System.nanoTime() > deadline) {
                progress.accept("the maintenance wave is not over yet");
                return Optional.empty();
            }
            pause(POLL_INTERVAL_MILLISECONDS);
        }
        progress.accept("the maintenance wave is over");
        return Optional.of(secondsSince(startNanoseconds));
    }

    private static double secondsSince(long startNanoseconds) {
        return Duration.ofNanos(System.nanoTime() - startNanoseconds).toMillis() / MILLISECONDS_PER_SECOND;
    }

    private List<Thread> startCallers() {
        List<Thread> threads = new ArrayList<>();
        List<ServiceName> services = fleet.deployment().services();
        for (int index = 0; index < services.size(); index++) {
            for (int count = 0; count < CALLERS_PER_SERVICE; count++) {
                int serviceIndex = index;
                LoadCaller caller = new LoadCaller(
                        services.get(index),
                        fleet::entries,
                        () -> pauseMilliseconds(serviceIndex),
                        () -> running,
                        ledger,
                        client,
                        index * (long) CALLERS_PER_SERVICE + count);
                threads.add(startThread(caller, "load-caller"));
            }
        }
        return threads;
    }

    private static Thread startThread(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private double pauseMilliseconds(int serviceIndex) {
        double factor = serviceIndex == burstingServiceIndex ? BURST_FACTOR : OFF_PEAK_FACTOR;
        return Math.min(MEAN_PAUSE_MILLISECONDS / factor, duration.toMillis() / (double) PHASE_COUNT);
    }

    private void startNextBurst() {
        burstingServiceIndex =
                (burstingServiceIndex + 1) % fleet.deployment().services().size();
        progress.accept("burst: " + fleet.deployment().services().get(burstingServiceIndex));
    }

    private double publishConfigurationChange() {
        SourcePlace place = new SourcePlace("99-absorbed-unit.toml", 1, 1);
        TeamDefinition team = new TeamDefinition(new TeamName("absorbed-unit"), 1, 1, place);
        ConfigurationUnit unit = new ConfigurationUnit(
                place.file(),
                "quickstart",
                Optional.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(team));
        long startNanoseconds = System.nanoTime();
        long offset = fleet.publishChange(new UnitChange(place.file(), 0, Optional.of(unit)));
        fleet.awaitInForce(offset);
        return secondsSince(startNanoseconds);
    }

    private QuickstartReport createReport(double inForceSeconds, Optional<Double> waveSeconds, FleetMonitor monitor) {
        return new QuickstartReport(
                fleet.deployment().name(),
                ledger.sent(),
                ledger.count(CallerOutcome.ANSWERED),
                ledger.count(CallerOutcome.REFUSED),
                ledger.count(CallerOutcome.UNKNOWN),
                ledger.countLost(),
                ledger.count(CallerOutcome.ANSWERED_WRONGLY),
                ledger.countRunTwice(fleet.workers().values()),
                ledger.countRefusedButRun(fleet.workers().values()),
                monitor.budgetViolations(),
                monitor.cutOffByReboot(),
                inForceSeconds,
                monitor.idleHostHours(),
                waveSeconds,
                monitor.moves());
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
