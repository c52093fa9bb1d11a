package org.cicadalead.model.configuration;

/**
 * One error in a configuration folder. Immutable.
 *
 * @param place where it stands
 * @param message what is wrong and what was expected
 * @param advice what the operator can do about it
 */
public record ConfigurationProblem(SourcePlace place, String message, String advice) {
    @Override
    public String toString() {
        return place + ": " + message + ". " + advice;
    }
}
