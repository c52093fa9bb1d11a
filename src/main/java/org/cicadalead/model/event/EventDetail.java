package org.cicadalead.model.event;

/**
 * A named value of an event. Immutable.
 *
 * @param name the name, as the catalogue gives it
 * @param value the value as text
 */
public record EventDetail(String name, String value) {
    /** Returns a detail of any value. */
    public static EventDetail of(String name, Object value) {
        return new EventDetail(name, String.valueOf(value));
    }
}
