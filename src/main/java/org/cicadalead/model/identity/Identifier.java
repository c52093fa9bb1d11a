package org.cicadalead.model.identity;

/**
 * A typed name. Identifiers of one type are ordered by their text, so that every process iterates over them in the same
 * order.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 *
 * @param <T> the implementing type
 */
public interface Identifier<T extends Identifier<T>> extends Comparable<T> {
    /** Returns the text of the name. */
    String value();

    @Override
    default int compareTo(T other) {
        return value().compareTo(other.value());
    }
}
