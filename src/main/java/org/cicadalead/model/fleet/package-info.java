/** State of hosts in the shared state: health, pool, move and maintenance. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.fleet;
