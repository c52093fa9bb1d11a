/** Merges, filters and explains the event timelines of several processes. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.timeline;
