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

/** Entry processes of their own, with the platform and the workers in the test, where they can be judged. */
final class CrashFleet implements AutoCloseable {
    private static final Duration WORK_TIME = Duration.ofMillis(5);
    private static final int MAXIMUM_PROCESSES = 6;

    private final Path folder;
    private final PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0);
    private final Map<HostName, UpstreamStandIn> workers = new TreeMap<>();
    private final List<ChildProcess> started = new ArrayList<>();
    private final List<NetworkAddress> balanced = new CopyOnWriteArrayList<>();

    CrashFleet(Path folder) {
        this.folder = folder;
        ExampleDeployment deployment = ExampleDeployment.load("blue-mountain");
        for (HostDefinition host : deployment.hosts()) {
            workers.put(host.name(), new UpstreamStandIn("127.0.0.1", 0, WORK_TIME));
            platform.putHost(host.name(), HostHealth.UP);
        }
        List<UnitChange> changes = deployment.units().stream()
                .map(this::atWorkers)
                .map(unit -> Commands.change(unit, 0))
                .toList();
        var envelope = Commands.envelope("crash-test", 0, Commands.publish(changes.toArray(UnitChange[]::new)));
        new HttpPlatform(platform.address()).append(new MessagePackCommandCodec().encode(envelope.orElseThrow()));
    }

    PlatformStandIn platform() {
        return platform;
    }

    /** Returns where the balancer sends callers. */
    List<NetworkAddress> balanced() {
        return balanced;
    }

    /** Starts entry processes together and adds them to the balancer once they are ready. */
    List<ChildProcess> start(String... zones) throws Exception {
        List<ChildProcess> fresh = new ArrayList<>();
        for (String zone : zones) {
            if (started.size() >= MAXIMUM_PROCESSES) {
                throw new IllegalStateException("A crash test starts at most " + MAXIMUM_PROCESSES + " processes");
            }
            ChildProcess process = ChildProcess.startEntry(folder, "entry-" + started.size(), zone, platform.address());
            started.add(process);
            fresh.add(process);
        }
        for (ChildProcess process : fresh) {
            process.awaitReady();
            balanced.add(process.callers());
        }
        return fresh;
    }

    /** Takes a process out of the balancer. */
    void remove(ChildProcess process) {
        balanced.remove(process.callers());
    }

    /** Starts or ends an outage of the platform. */
    void setPlatformAvailable(boolean available) {
        platform.log().setAvailable(available);
        platform.tasks().setAvailable(available);
    }

    /** Returns how often a request ran, over all workers. */
    int runs(String request) {
        return workers.values().stream()
                .map(worker -> Optional.ofNullable(worker.runCounts().get(request)))
                .mapToInt(count -> count.map(AtomicInteger::get).orElse(0))
                .sum();
    }

    @Override
    public void close() {
        started.forEach(ChildProcess::close);
        workers.values().forEach(UpstreamStandIn::close);
        platform.close();
    }

    private ConfigurationUnit atWorkers(ConfigurationUnit unit) {
        return unit.withHosts(unit.hosts().stream()
                .map(host -> host.withAddress(workers.get(host.name()).address()))
                .toList());
    }
}
