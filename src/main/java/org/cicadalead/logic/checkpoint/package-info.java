/** When to write checkpoints of the shared state into the log, and how to put one together from its parts. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.checkpoint;
