package org.cicadalead.model.configuration;

/**
 * One error in a configuration folder. Immutable.
 *
 * @param place location of the error
 * @param message the error and what was expected
 * @param advice how the operator can correct it
 */
public record ConfigurationProblem(SourcePlace place, String message, String advice) {
    @Override
    public String toString() {
        return place + ": " + message + ". " + advice;
    }
}
