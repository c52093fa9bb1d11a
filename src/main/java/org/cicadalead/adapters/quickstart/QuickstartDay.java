package org.cicadalead.adapters.quickstart;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cicadalead.adapters.entry.EntryProcess;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.SourcePlace;
import org.cicadalead.model.configuration.TeamDefinition;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.TeamName;

/**
 * Plays a deployment's day in short: bursts by turns, a configuration change and a replaced entry host. Used by one
 * thread, which starts the callers' threads.
 */
public final class QuickstartDay {
    private static final int CALLERS_PER_SERVICE = 10;
    private static final double MEAN_PAUSE_MILLISECONDS = 50;
    private static final double BURST_FACTOR = 5;
    private static final double QUIET_FACTOR = 0.05;
    private static final int CHANGE_PARTS = 4;

    private final QuickstartFleet fleet;
    private final Duration duration;
    private final Consumer<String> progress;
    private final CallerLedger ledger = new CallerLedger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean running = true;
    private volatile int burstingService;

    /** Creates a day that takes a time; progress is reported line by line. */
    public QuickstartDay(QuickstartFleet fleet, Duration duration, Consumer<String> progress) {
        this.fleet = fleet;
        this.duration = duration;
        this.progress = progress;
    }

    /** Plays the day and counts. */
    public QuickstartReport play() {
        List<Thread> callers = startCallers();
        long part = duration.toMillis() / CHANGE_PARTS;
        pause(part);
        progress.accept("publishing a configuration change");
        double inForceSeconds = changeConfiguration();
        nextBurst();
        pause(part);
        progress.accept("replacing an entry process");
        EntryProcess replaced = fleet.entries().get(0);
        int left = fleet.replaceEntry(replaced, fleet.deployment().zones().get(0));
        progress.accept("entry process replaced, " + left + " requests left behind");
        nextBurst();
        pause(part);
        nextBurst();
        pause(part);
        running = false;
        callers.forEach(QuickstartDay::join);
        return report(inForceSeconds);
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
                Thread thread = new Thread(caller, "load-caller");
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }
        return threads;
    }

    private double pauseMilliseconds(int serviceIndex) {
        double factor = serviceIndex == burstingService ? BURST_FACTOR : QUIET_FACTOR;
        return Math.min(MEAN_PAUSE_MILLISECONDS / factor, duration.toMillis() / (double) CHANGE_PARTS);
    }

    private void nextBurst() {
        burstingService = (burstingService + 1) % fleet.deployment().services().size();
        progress.accept("burst: " + fleet.deployment().services().get(burstingService));
    }

    private double changeConfiguration() {
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
        long start = System.nanoTime();
        long offset = fleet.publishChange(new UnitChange(place.file(), 0, Optional.of(unit)));
        fleet.awaitInForce(offset);
        return Duration.ofNanos(System.nanoTime() - start).toMillis() / 1_000.0;
    }

    private QuickstartReport report(double inForceSeconds) {
        return new QuickstartReport(
                fleet.deployment().name(),
                ledger.sent(),
                ledger.count(CallerOutcome.ANSWERED),
                ledger.count(CallerOutcome.REFUSED),
                ledger.count(CallerOutcome.UNKNOWN),
                ledger.lost(),
                ledger.count(CallerOutcome.ANSWERED_WRONGLY),
                ledger.runTwice(fleet.workers().values()),
                ledger.refusedButRun(fleet.workers().values()),
                inForceSeconds);
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
