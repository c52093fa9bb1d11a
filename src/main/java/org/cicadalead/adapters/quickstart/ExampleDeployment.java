package org.cicadalead.adapters.quickstart;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import org.cicadalead.adapters.toml.ConfigurationUnitReader;
import org.cicadalead.model.configuration.ConfigurationProblem;
import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.HostDefinition;
import org.cicadalead.model.configuration.ServiceDefinition;
import org.cicadalead.model.configuration.ZoneDefinition;
import org.cicadalead.model.error.CicadaleadException;
import org.cicadalead.model.error.ErrorKind;
import org.cicadalead.model.identity.ServiceName;
import org.cicadalead.model.identity.ZoneName;

/**
 * An example deployment: a configuration folder packaged with the program. Immutable.
 *
 * @param name the deployment's name
 * @param units its configuration files, ordered by file name
 */
public record ExampleDeployment(String name, List<ConfigurationUnit> units) {
    private static final String FOLDER = "examples/";

    /** Copies {@code units}. */
    public ExampleDeployment {
        units = List.copyOf(units);
    }

    /** Loads an example; throws with kind {@code MALFORMED_REQUEST} when no example has this name. */
    public static ExampleDeployment load(String name) {
        SortedMap<String, String> texts = readTexts(FOLDER + name + "/");
        if (texts.isEmpty()) {
            throw new CicadaleadException(
                    ErrorKind.MALFORMED_REQUEST, "There is no example '" + name + "'; see --help for the names");
        }
        List<ConfigurationProblem> problems = new ArrayList<>();
        List<ConfigurationUnit> units = new ArrayList<>();
        texts.forEach((file, text) -> units.add(ConfigurationUnitReader.read(file, text, problems)));
        if (!problems.isEmpty()) {
            throw new CicadaleadException(ErrorKind.INVALID_CONFIGURATION, problems.toString());
        }
        return new ExampleDeployment(name, units);
    }

    /** Returns the names of the availability zones of all files. */
    public List<ZoneName> zones() {
        return units.stream()
                .flatMap(unit -> unit.zones().stream())
                .map(ZoneDefinition::name)
                .toList();
    }

    /** Returns the hosts of all files. */
    public List<HostDefinition> hosts() {
        return units.stream().flatMap(unit -> unit.hosts().stream()).toList();
    }

    /** Returns the names of the services of all files. */
    public List<ServiceName> services() {
        return units.stream()
                .flatMap(unit -> unit.services().stream())
                .map(ServiceDefinition::name)
                .toList();
    }

    private static SortedMap<String, String> readTexts(String prefix) {
        try {
            Path location = Path.of(ExampleDeployment.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return Files.isDirectory(location) ? readFolder(location.resolve(prefix)) : readArchive(location, prefix);
        } catch (IOException | URISyntaxException failure) {
            throw new CicadaleadException(ErrorKind.INTERNAL, "The examples cannot be read", failure);
        }
    }

    private static SortedMap<String, String> readFolder(Path folder) throws IOException {
        SortedMap<String, String> texts = new TreeMap<>();
        if (!Files.isDirectory(folder)) {
            return texts;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".toml")).toList()) {
                texts.put(file.getFileName().toString(), Files.readString(file));
            }
        }
        return texts;
    }

    private static SortedMap<String, String> readArchive(Path archive, String prefix) throws IOException {
        SortedMap<String, String> texts = new TreeMap<>();
        try (JarFile jar = new JarFile(archive.toFile())) {
            for (JarEntry entry : jar.stream().toList()) {
                String file =
                        entry.getName().startsWith(prefix) ? entry.getName().substring(prefix.length()) : "/";
                if (!file.contains("/") && file.endsWith(".toml")) {
                    try (InputStream content = jar.getInputStream(entry)) {
                        texts.put(file, new String(content.readAllBytes(), StandardCharsets.UTF_8));
                    }
                }
            }
        }
        return texts;
    }
}
