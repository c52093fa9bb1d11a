package org.cicadalead.logic.configuration;

import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that a mistyped one most likely stands for. Stateless; safe for use by several threads. */
public final class NearestName {
    private static final int MAX_DISTANCE = 4;

    private NearestName() {}

    /** Returns the nearest known name, if one is near enough to be worth naming. */
    public static Optional<String> find(String name, Iterable<?> knownNames) {
        LevenshteinDistance metric = new LevenshteinDistance(MAX_DISTANCE);
        Optional<String> nearest = Optional.empty();
        int nearestDistance = MAX_DISTANCE + 1;
        for (Object known : knownNames) {
            int distance = metric.apply(name, known.toString());
            if (distance >= 0 && distance < nearestDistance) {
                nearest = Optional.of(known.toString());
                nearestDistance = distance;
            }
        }
        return nearest;
    }
}
