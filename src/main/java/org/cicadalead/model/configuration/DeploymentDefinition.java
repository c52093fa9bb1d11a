package org.cicadalead.model.configuration;

/**
 * Settings of the whole deployment. Immutable.
 *
 * @param name the deployment's name
 * @param firstMeasure the measure that the planners optimize first
 * @param place where it is defined
 */
public record DeploymentDefinition(String name, Measure firstMeasure, SourcePlace place) {}
