/** Implements the timer service with the monotonic system clock. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.time;
