package org.cicadalead.model.event;

/**
 * A named value of an event. Immutable.
 *
 * @param name the name of the value
 * @param value the value as text
 */
public record EventDetail(String name, String value) {
    /** Creates a detail from any value, which is converted to text. */
    public static EventDetail of(String name, Object value) {
        return new EventDetail(name, String.valueOf(value));
    }
}
