/**
 * Decides when checkpoints of the shared state are written into the log, and assembles checkpoints from their parts.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.checkpoint;
