package org.cicadalead.model.state;

import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.pcollections.TreePMap;

/**
 * The accepted configuration. Immutable.
 *
 * @param version offset of the last accepted publication; 0 before the first
 * @param units accepted files by name, in the order in which they are merged
 * @param merged the configuration merged from all files
 */
public record ConfigurationState(long version, TreePMap<String, VersionedUnit> units, FleetConfiguration merged) {
    /** Returns the state before the first publication. */
    public static ConfigurationState empty() {
        return new ConfigurationState(0, TreePMap.empty(), FleetConfiguration.empty());
    }

    /**
     * A configuration file with its version.
     *
     * @param version offset of the record that published it
     * @param unit content of the file
     */
    public record VersionedUnit(long version, ConfigurationUnit unit) {}
}
