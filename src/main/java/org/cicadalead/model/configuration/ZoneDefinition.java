package org.cicadalead.model.configuration;

import org.cicadalead.model.identity.RegionName;
import org.cicadalead.model.identity.ZoneName;

/**
 * An availability zone. Immutable.
 *
 * @param name the zone's name
 * @param region the region of the zone
 * @param place where it is defined
 */
public record ZoneDefinition(ZoneName name, RegionName region, SourcePlace place) {}
