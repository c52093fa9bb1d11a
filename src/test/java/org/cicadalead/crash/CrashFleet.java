package org.cicadalead.crash;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.platform.HttpPlatform;
import org.cicadalead.adapters.quickstart.ExampleDeployment;
import org.cicadalead.adapters.standin.PlatformStandIn;
import org.cicadalead.adapters.standin.UpstreamStandIn;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.support.Commands;

/** Runs entry processes as child processes, with the platform and the workers in the test, which can inspect them. */
final class CrashFleet implements AutoCloseable {
    private static final Duration WORK_TIME = Duration.ofMillis(5);
    private static final int MAX_PROCESSES = 6;

    private final Path folder;
    private final PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0);
    private final Map<HostName, UpstreamStandIn> workers = new TreeMap<>();
    private final List<ChildProcess> processes = new ArrayList<>();
    private final List<NetworkAddress> balancedAddresses = new CopyOnWriteArrayList<>();

    CrashFleet(Path folder) {
        this.folder = folder;
        ExampleDeployment deployment = ExampleDeployment.load("blue-mountain");
        for (HostDefinition host : deployment.hosts()) {
            workers.put(host.name(), new UpstreamStandIn("127.0.0.1", 0, WORK_TIME));
            platform.putHost(host.name(), HostHealth.UP);
        }
        List<UnitChange> changes = deployment.units().stream()
                .map(this::withWorkerAddresses)
                .map(unit -> Commands.change(unit, 0))
                .toList();
        var envelope = Commands.envelope("crash-test", 0, Commands.publish(changes.toArray(UnitChange[]::new)));
        new HttpPlatform(platform.address()).append(new MessagePackCommandCodec().encode(envelope.orElseThrow()));
    }

    PlatformStandIn platform() {
        return platform;
    }

    /** Returns the addresses to which the balancer sends callers. */
    List<NetworkAddress> balancedAddresses() {
        return balancedAddresses;
    }

    /** Starts entry processes together and adds them to the balancer once they are ready. */
    List<ChildProcess> startProcesses(String... zones) throws Exception {
        List<ChildProcess> newProcesses = new ArrayList<>();
        for (String zone : zones) {
            if (processes.size() >= MAX_PROCESSES) {
                throw new IllegalStateException("A crash test starts at most " + MAX_PROCESSES + " processes");
            }
            ChildProcess process =
                    ChildProcess.startEntry(folder, "entry-" + processes.size(), zone, platform.address());
            processes.add(process);
            newProcesses.add(process);
        }
        for (ChildProcess process : newProcesses) {
            process.awaitReady();
            balancedAddresses.add(process.callerAddress());
        }
        return newProcesses;
    }

    /** Removes a process from the balancer. */
    void removeFromBalancer(ChildProcess process) {
        balancedAddresses.remove(process.callerAddress());
    }

    /** Starts or ends an outage of the platform. */
    void setPlatformAvailable(boolean available) {
        platform.log().setAvailable(available);
        platform.tasks().setAvailable(available);
    }

    /** Returns how often a request ran, summed over all workers. */
    int countRuns(String request) {
        return workers.values().stream()
                .map(worker -> Optional.ofNullable(worker.runCounts().get(request)))
                .mapToInt(count -> count.map(AtomicInteger::get).orElse(0))
                .sum();
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
        workers.values().forEach(UpstreamStandIn::close);
        platform.close();
    }

    private ConfigurationUnit withWorkerAddresses(ConfigurationUnit unit) {
        return unit.withHosts(unit.hosts().stream()
                .map(host -> host.withAddress(workers.get(host.name()).address()))
                .toList());
    }
}
