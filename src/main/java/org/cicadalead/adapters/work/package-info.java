/** Runs the scheduling of jobs: election, loading, looks at hosts, orders, and the way of callers' requests. */
@NullMarked
package org.cicadalead.adapters.work;

import org.jspecify.annotations.NullMarked;
