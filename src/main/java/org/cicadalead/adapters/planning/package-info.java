/** Runs the planners in an entry process: observations, rounds from a timer, drains, reboots and operators' routes. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.planning;
