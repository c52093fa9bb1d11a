package org.cicadalead.model.state;

import org.cicadalead.model.configuration.ConfigurationUnit;
import org.cicadalead.model.configuration.FleetConfiguration;
import org.pcollections.TreePMap;

/**
 * The accepted configuration. Immutable.
 *
 * @param version offset of the last accepted publication; 0 before the first
 * @param units accepted files by name, in the order of merging
 * @param merged the merged whole
 */
public record ConfigurationState(long version, TreePMap<String, VersionedUnit> units, FleetConfiguration merged) {
    /** Returns the state before the first publication. */
    public static ConfigurationState empty() {
        return new ConfigurationState(0, TreePMap.empty(), FleetConfiguration.empty());
    }

    /**
     * A file with its version.
     *
     * @param version offset of the record that published it
     * @param unit its content
     */
    public record VersionedUnit(long version, ConfigurationUnit unit) {}
}
