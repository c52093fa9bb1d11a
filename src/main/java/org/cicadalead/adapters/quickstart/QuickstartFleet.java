package org.cicadalead.adapters.quickstart;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.entry.EntryProcess;
import org.cicadalead.adapters.platform.HttpPlatform;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.command.MaintenanceCommand;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.WaveAction;
import org.cicadalead.model.fleet.WaveSelection;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.RackName;
import org.cicadalead.model.identity.WaveIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.settings.EntrySettings;
import org.cicadalead.model.settings.EntrySettings.BindAddress;
import org.cicadalead.model.state.WaveState;

/**
 * Runs a platform stand-in, one worker for each host of a deployment and two entry processes for each availability zone
 * in this process; they communicate over loopback sockets. Thread-safe.
 */
public final class QuickstartFleet implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int ENTRIES_PER_ZONE = 2;
    private static final Duration REBOOT_DURATION = Duration.ofMillis(300);
    private static final Duration WORK_DURATION = Duration.ofMillis(5);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final Duration BALANCER_DELAY = Duration.ofMillis(500);
    private static final Duration SHUTDOWN_LIMIT = Duration.ofSeconds(10);

    private final ExampleDeployment deployment;
    private final PlatformStandIn platform = new PlatformStandIn(LOOPBACK, 0);
    private final Map<HostName, UpstreamStandIn> workers = new TreeMap<>();
    private final Set<HostName> failedHosts = ConcurrentHashMap.newKeySet();
    private final List<EntryProcess> entries = new CopyOnWriteArrayList<>();

    private QuickstartFleet(ExampleDeployment deployment) {
        this.deployment = deployment;
        platform.reboots().setDuration(REBOOT_DURATION);
    }

    /** Starts the fleet and waits until every entry process is ready. */
    public static QuickstartFleet start(ExampleDeployment deployment) {
        QuickstartFleet fleet = new QuickstartFleet(deployment);
        try {
            fleet.startWorkers();
            fleet.publishConfiguration();
            deployment.zones().forEach(zone -> {
                for (int count = 0; count < ENTRIES_PER_ZONE; count++) {
                    fleet.entries.add(fleet.createEntry(zone));
                }
            });
            fleet.entries.forEach(QuickstartFleet::awaitReady);
            return fleet;
        } catch (RuntimeException failure) {
            fleet.close();
            throw failure;
        }
    }

    /** Returns the deployment that the fleet runs. */
    public ExampleDeployment deployment() {
        return deployment;
    }

    /** Returns the running entry processes. */
    public List<EntryProcess> entries() {
        return entries;
    }

    /** Returns the workers by the name of their host, those of failed racks included. */
    public Map<HostName, UpstreamStandIn> workers() {
        return workers;
    }

    /** Returns the platform stand-in. */
    public PlatformStandIn platform() {
        return platform;
    }

    /** Returns the addresses at which the entry processes accept callers' requests. */
    public List<NetworkAddress> callerAddresses() {
        return entries.stream().map(EntryProcess::callerAddress).toList();
    }

    /**
     * Starts a new entry process in an availability zone, then stops the old one gracefully; returns the number of
     * requests that the old one had not finished.
     */
    public int replaceEntry(EntryProcess oldEntry, ZoneName zone) {
        EntryProcess newEntry = createEntry(zone);
        awaitReady(newEntry);
        entries.add(newEntry);
        entries.remove(oldEntry);
        return oldEntry.stopGracefully();
    }

    /** Returns the racks of the deployment, ordered by name. */
    public List<RackName> racks() {
        return deployment.hosts().stream()
                .map(HostDefinition::rack)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Fails all workers of a rack at once: they stop responding, and the platform no longer lists their hosts. Returns
     * the number of hosts.
     */
    public int failRack(RackName rack) {
        int count = 0;
        for (HostDefinition host : deployment.hosts()) {
            if (host.rack().equals(rack)) {
                failedHosts.add(host.name());
                workers.get(host.name()).close();
                platform.removeHost(host.name());
                count++;
            }
        }
        return count;
    }

    /** Returns whether the worker of a host can run requests: it has not failed and is not rebooting. */
    public boolean isRunning(HostName host) {
        return !failedHosts.contains(host) && !platform.reboots().isUnavailable(host);
    }

    /** Starts a maintenance wave that reboots the hosts of a rack. */
    public void startWave(WaveIdentifier wave, RackName rack) {
        WaveSelection selection = new WaveSelection(List.of(), List.of(rack), List.of(), List.of());
        append(new MaintenanceCommand.Start(
                wave, selection, WaveAction.REBOOT, "the quickstart's day", System.currentTimeMillis(), 0, 1));
    }

    /** Returns whether a wave has reached a terminal phase. */
    public boolean isWaveFinished(WaveIdentifier wave) {
        WaveState state = entries.get(0).state().waves().get(wave);
        return state != null && state.phase().isTerminal();
    }

    /** Appends the change of one configuration file to the log and returns its offset. */
    public long publishChange(UnitChange change) {
        return append(new ConfigurationCommand.Publish(List.of(change)));
    }

    private long append(Command command) {
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier("quickstart-" + System.nanoTime()),
                new ProcessIdentifier("quickstart"),
                entries.isEmpty() ? 0 : entries.get(0).state().offset(),
                command);
        return new HttpPlatform(platform.address()).append(new MessagePackCommandCodec().encode(envelope));
    }

    /** Waits until the configuration published at an offset is in force in every entry process. */
    public void awaitInForce(long offset) {
        for (EntryProcess entry : entries) {
            await(() -> entry.state().configuration().version() >= offset);
        }
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        workers.values().forEach(UpstreamStandIn::close);
        platform.close();
    }

    private void startWorkers() {
        for (HostDefinition host : deployment.hosts()) {
            workers.put(host.name(), new UpstreamStandIn(LOOPBACK, 0, WORK_DURATION));
            platform.putHost(host.name(), HostHealth.UP);
        }
    }

    private void publishConfiguration() {
        List<UnitChange> changes = new ArrayList<>();
        for (ConfigurationUnit unit : deployment.units()) {
            changes.add(new UnitChange(unit.fileName(), 0, Optional.of(withWorkerAddresses(unit))));
        }
        append(new ConfigurationCommand.Publish(changes));
    }

    /**
     * Replaces the addresses of the hosts by those of the workers. The addresses in the examples are meant for
     * stand-ins that are started by hand, while every worker here is bound to any free port.
     */
    ConfigurationUnit withWorkerAddresses(ConfigurationUnit unit) {
        return unit.withHosts(unit.hosts().stream()
                .map(host -> host.withAddress(workers.get(host.name()).address()))
                .toList());
    }

    private EntryProcess createEntry(ZoneName zone) {
        BindAddress anyPort = new BindAddress(LOOPBACK, 0);
        return new EntryProcess(new EntrySettings(
                zone,
                anyPort,
                anyPort,
                anyPort,
                platform.address(),
                List.of(),
                BALANCER_DELAY,
                SHUTDOWN_LIMIT,
                Optional.empty()));
    }

    private static void awaitReady(EntryProcess entry) {
        await(entry::isReady);
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new CicadaleadException(ErrorKind.NOT_READY, "The entry processes did not become ready");
            }
            try {
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new CicadaleadException(ErrorKind.NOT_READY, "Interrupted", interrupted);
            }
        }
    }
}
