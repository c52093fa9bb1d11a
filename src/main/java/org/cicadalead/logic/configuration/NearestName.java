package org.cicadalead.logic.configuration;

import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that is most similar to a misspelled name. Stateless; safe for use by several threads. */
public final class NearestName {
    /** Maximum Levenshtein distance of a suggested name, in edits. */
    private static final int MAX_DISTANCE = 4;

    private NearestName() {}

    /** Returns the known name with the smallest edit distance, or empty when every distance exceeds the maximum. */
    public static Optional<String> find(String name, Iterable<?> knownNames) {
        LevenshteinDistance metric = new LevenshteinDistance(MAX_DISTANCE);
        Optional<String> nearest = Optional.empty();
        int nearestDistance = MAX_DISTANCE + 1;
        for (Object knownName : knownNames) {
            int distance = metric.apply(name, knownName.toString());
            if (distance >= 0 && distance < nearestDistance) {
                nearest = Optional.of(knownName.toString());
                nearestDistance = distance;
            }
        }
        return nearest;
    }
}
