package org.cicadalead.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand;
import org.cicadalead.model.command.FleetCommand;
import org.cicadalead.model.command.MembershipCommand;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/** Provides a small fleet, folded from commands. For use by one thread. */
public final class PlannedFleet {
    public static final ProcessIdentifier PROCESS = new ProcessIdentifier("process-1");

    private SharedState state = SharedState.empty();
    private int port = 21_000;

    /** Creates a fleet with one zone and a deployment that sets {@code first-measure}. */
    public static PlannedFleet withFirstMeasure(String measure) {
        PlannedFleet fleet = new PlannedFleet();
        fleet.publish(Commands.unit(
                "00.toml",
                "[deployment]\nname = \"test\"\nfirst-measure = \"" + measure + "\"\n"
                        + "[[zone]]\nname = \"zone\"\nregion = \"region\"\n"));
        return fleet;
    }

    /** Publishes a pool with one host per entry of {@code racks}, and a service with an availability budget. */
    public CommandOutcome publishPool(String name, int promised, int maximumUnavailable, String... racks) {
        String service = "[[service]]\nname = \"" + name + "-service\"\npool = \"" + name + "\"\npromised-hosts = "
                + promised + "\nmaximum-unavailable = " + maximumUnavailable + "\ncovers = \"rack\"\n";
        return publish(Commands.unit(name + ".toml", service + createPoolText(name, false, racks)));
    }

    /** Publishes a spare pool with one host per entry of {@code racks}. */
    public CommandOutcome publishSparePool(String... racks) {
        return publish(Commands.unit("spare.toml", createPoolText("spare", true, racks)));
    }

    public CommandOutcome publish(ConfigurationUnit unit) {
        long version = Optional.ofNullable(state.configuration().units().get(unit.fileName()))
                .map(current -> current.version())
                .orElse(0L);
        return apply(new ConfigurationCommand.Publish(List.of(Commands.change(unit, version))));
    }

    public CommandOutcome join() {
        return apply(new MembershipCommand.Join(
                PROCESS, new ZoneName("zone"), new NetworkAddress("127.0.0.1", 1), Optional.empty()));
    }

    public CommandOutcome observe(String host, HostHealth health) {
        return apply(new FleetCommand.Observe(List.of(
                new FleetCommand.HostObservation(new HostName(host), host(host).version(), health))));
    }

    public CommandOutcome apply(Command command) {
        long offset = state.offset() + 1;
        FoldResult result = SharedStateFold.apply(
                state,
                offset,
                Optional.of(new CommandEnvelope(
                        CommandEnvelope.CURRENT_FORMAT, new CommandIdentifier("command-" + offset), PROCESS, command)));
        state = result.state();
        return result.outcome();
    }

    public HostState host(String name) {
        return Optional.ofNullable(state.hosts().get(new HostName(name))).orElseThrow();
    }

    public SharedState state() {
        return state;
    }

    public static boolean isAccepted(CommandOutcome outcome) {
        return outcome instanceof CommandOutcome.Accepted;
    }

    private String createPoolText(String name, boolean spare, String... racks) {
        List<String> hosts = new ArrayList<>();
        StringBuilder definitions = new StringBuilder();
        for (int number = 0; number < racks.length; number++) {
            String host = name + "-" + number;
            hosts.add("\"" + host + "\"");
            definitions
                    .append("[[host]]\nname = \"")
                    .append(host)
                    .append("\"\nzone = \"zone\"\nrack = \"")
                    .append(racks[number])
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(port++)
                    .append("\"\nprocessors = 8\nmemory-gigabytes = 8\n");
        }
        return "[[pool]]\nname = \"" + name + "\"\nspare = " + spare + "\nhosts = " + hosts + "\n" + definitions;
    }
}
