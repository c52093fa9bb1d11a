/**
 * The state bench: measures folding, memory, the start from a checkpoint, and the time until a configuration is in
 * force.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.state;
