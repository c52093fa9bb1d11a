/** The bench of the shared state: folding, memory, starting from a checkpoint, and the time until in force. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.state;
