/** Merging, filtering and explaining the time lines of several processes. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.timeline;
