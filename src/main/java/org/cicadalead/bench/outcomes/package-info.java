/**
 * The outcomes bench: runs the planners and the fold through a scenario with failures, in virtual time, with small
 * fakes at the ports.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.outcomes;
