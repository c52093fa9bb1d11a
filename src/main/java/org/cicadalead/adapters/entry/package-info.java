/** The entry process: its parts put together, started and stopped. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.entry;
