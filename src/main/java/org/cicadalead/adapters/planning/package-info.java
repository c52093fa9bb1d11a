/**
 * Runs the planners in an entry process: host observations, periodic planning cycles, drains, reboots and the routes
 * for operators.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.planning;
