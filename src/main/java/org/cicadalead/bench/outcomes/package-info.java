/**
 * The bench of outcomes: planners and fold through a day of failures, in virtual time, with small fakes at the ports.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.outcomes;
