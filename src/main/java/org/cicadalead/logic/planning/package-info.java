/**
 * Planners, which compute decisions from the shared state without side effects. A decision proposes a command; the fold
 * of the log accepts or rejects it.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.planning;
