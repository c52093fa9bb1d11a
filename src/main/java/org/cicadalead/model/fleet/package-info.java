/** Hosts as the shared state sees them: health, pool, move and maintenance. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.fleet;
