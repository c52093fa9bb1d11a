/** Replica of the shared state: follows the log, appends to it and relays records between processes. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.replica;
