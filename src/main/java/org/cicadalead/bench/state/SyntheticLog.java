package org.cicadalead.bench.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cicadalead.adapters.codec.MessagePackCommandCodec;
import org.cicadalead.adapters.toml.ConfigurationUnitReader;
import org.cicadalead.logic.state.FoldResult;
import org.cicadalead.logic.state.SharedStateFold;
import org.cicadalead.model.command.Command;
import org.cicadalead.model.command.CommandEnvelope;
import org.cicadalead.model.command.CommandOutcome;
import org.cicadalead.model.command.ConfigurationCommand.Publish;
import org.cicadalead.model.command.ConfigurationCommand.UnitChange;
import org.cicadalead.model.command.FleetCommand.HostObservation;
import org.cicadalead.model.command.FleetCommand.Observe;
import org.cicadalead.model.command.MembershipCommand.Join;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.NetworkAddress;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.fleet.HostHealth;
import org.cicadalead.model.fleet.HostState;
import org.cicadalead.model.identity.CommandIdentifier;
import org.cicadalead.model.identity.HostName;
import org.cicadalead.model.identity.ProcessIdentifier;
import org.cicadalead.model.identity.ZoneName;
import org.cicadalead.model.state.SharedState;

/** Creates the log records of a fleet of a given size; the fold accepts each of them. For use by one thread. */
final class SyntheticLog {
    private static final int ZONES = 5;
    private static final int HOSTS_PER_RACK = 4;
    private static final int TEAMS_PER_FILE = 10;
    private static final int FIRST_PORT = 1_024;

    private final MessagePackCommandCodec codec = new MessagePackCommandCodec();
    private final FleetSize size;
    private final List<byte[]> records = new ArrayList<>();
    private SharedState state = SharedState.empty();

    SyntheticLog(FleetSize size) {
        this.size = size;
        appendFleetPublication();
        for (int member = 0; member < size.members(); member++) {
            append(new Join(
                    new ProcessIdentifier("member-" + member),
                    new ZoneName("zone-" + member % ZONES),
                    new NetworkAddress("127.0.0.1", FIRST_PORT + member),
                    Optional.empty()));
        }
    }

    List<byte[]> records() {
        return records;
    }

    SharedState state() {
        return state;
    }

    /** Appends an observation that one host failed or returned. */
    void appendObservation(int count) {
        HostName name = hostName(count % size.hosts());
        HostState host = state.hosts().get(name);
        HostHealth health = host.health() == HostHealth.UP ? HostHealth.DOWN : HostHealth.UP;
        append(new Observe(List.of(new HostObservation(name, host.version(), health))));
    }

    /** Appends a publication that changes the shares of all teams in one file. */
    void appendTeamPublication(int count) {
        int file = count % teamFileCount();
        ConfigurationUnit unit = createTeamUnit(file, 2 + count);
        long version = state.configuration().units().get(unit.fileName()).version();
        append(new Publish(List.of(new UnitChange(unit.fileName(), version, Optional.of(unit)))));
    }

    /** Appends a command that the fold must accept; returns its offset. */
    long append(Command command) {
        long offset = state.offset() + 1;
        CommandEnvelope envelope = new CommandEnvelope(
                CommandEnvelope.CURRENT_FORMAT,
                new CommandIdentifier("00000000-0000-0000-0000-" + offset),
                new ProcessIdentifier("bench"),
                state.offset(),
                command);
        FoldResult result = SharedStateFold.apply(state, offset, Optional.of(envelope));
        if (!(result.outcome() instanceof CommandOutcome.Accepted)) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "A record of the bench is refused: " + result.outcome());
        }
        state = result.state();
        records.add(codec.encode(envelope));
        return offset;
    }

    private void appendFleetPublication() {
        List<UnitChange> changes = new ArrayList<>();
        changes.add(createChange(createZoneUnit()));
        for (int pool = 0; pool < size.pools(); pool++) {
            changes.add(createChange(createPoolUnit(pool)));
        }
        for (int file = 0; file < teamFileCount(); file++) {
            changes.add(createChange(createTeamUnit(file, 1)));
        }
        append(new Publish(changes));
    }

    private int teamFileCount() {
        return Math.max(1, size.teams() / TEAMS_PER_FILE);
    }

    private static ConfigurationUnit createZoneUnit() {
        StringBuilder text = new StringBuilder("[deployment]\nname = \"bench\"\nfirst-measure = \"moves\"\n");
        for (int zone = 0; zone < ZONES; zone++) {
            text.append("[[zone]]\nname = \"zone-")
                    .append(zone)
                    .append("\"\nregion = \"region-")
                    .append(zone % 2)
                    .append("\"\n");
        }
        return parseUnit("00-zones.toml", text);
    }

    private ConfigurationUnit createPoolUnit(int pool) {
        StringBuilder text = new StringBuilder();
        List<String> names = new ArrayList<>();
        for (int host = pool; host < size.hosts(); host += size.pools()) {
            names.add("\"" + hostName(host) + "\"");
            text.append("[[host]]\nname = \"").append(hostName(host)).append("\"\n");
            text.append("zone = \"zone-").append(host / HOSTS_PER_RACK % ZONES).append("\"\n");
            text.append("rack = \"rack-").append(host / HOSTS_PER_RACK).append("\"\n");
            text.append("address = \"10.")
                    .append(host / 250)
                    .append(".0.")
                    .append(host % 250)
                    .append(":8080\"\n");
            text.append("processors = 64\nmemory-gigabytes = 256\naccelerators = 2\n");
        }
        text.append("[[pool]]\nname = \"pool-").append(pool).append("\"\n");
        text.append("hosts = [").append(String.join(", ", names)).append("]\n");
        text.append("[[service]]\nname = \"service-").append(pool).append("\"\n");
        text.append("pool = \"pool-").append(pool).append("\"\n");
        text.append("promised-hosts = ").append(names.size() / 2);
        text.append("\nmaximum-unavailable = 2\ncovers = \"host\"\n");
        return parseUnit("10-pool-" + pool + ".toml", text);
    }

    private static ConfigurationUnit createTeamUnit(int file, int share) {
        StringBuilder text = new StringBuilder();
        for (int team = 0; team < TEAMS_PER_FILE; team++) {
            text.append("[[team]]\nname = \"team-").append(file).append('-').append(team);
            text.append("\"\nshare = ").append(share).append('\n');
        }
        return parseUnit("20-teams-" + file + ".toml", text);
    }

    private static HostName hostName(int host) {
        return new HostName("host-" + host);
    }

    private static UnitChange createChange(ConfigurationUnit unit) {
        return new UnitChange(unit.fileName(), 0, Optional.of(unit));
    }

    private static ConfigurationUnit parseUnit(String fileName, CharSequence text) {
        List<org.cicadalead.model.configuration.ConfigurationProblem> problems = new ArrayList<>();
        ConfigurationUnit unit = ConfigurationUnitReader.read(fileName, text.toString(), problems);
        if (!problems.isEmpty()) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The bench's configuration is wrong: " + problems);
        }
        return unit;
    }
}
