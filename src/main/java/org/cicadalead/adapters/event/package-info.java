/** Records the event timeline of one process and writes its log. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.event;
