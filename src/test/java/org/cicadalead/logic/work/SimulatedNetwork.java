package org.cicadalead.logic.work;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Which availability zones reach each other and the platform. A zone that is cut off reaches only itself. */
final class SimulatedNetwork {
    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private final Random random;
    private Optional<String> cutZone = Optional.empty();

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    void cutOff(String zone) {
        cutZone = Optional.of(zone);
    }

    void reconnect() {
        cutZone = Optional.empty();
    }

    boolean isCutOff(String zone) {
        return cutZone.filter(zone::equals).isPresent();
    }

    boolean hasCutZone() {
        return cutZone.isPresent();
    }

    boolean connects(String zone, String otherZone) {
        return zone.equals(otherZone) || (!isCutOff(zone) && !isCutOff(otherZone));
    }

    String chooseConnectedZone() {
        List<String> connected = ZONES.stream().filter(zone -> !isCutOff(zone)).toList();
        return connected.get(random.nextInt(connected.size()));
    }
}
