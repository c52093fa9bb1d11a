/** The timer service on the monotonic clock. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.time;
