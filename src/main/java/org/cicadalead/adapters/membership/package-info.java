/** Membership, view leases and moves of this process, driven by timers and by the log. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.membership;
