/** The time line of one process and its log. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.event;
