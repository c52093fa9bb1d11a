/** Runs the scheduling of jobs: election, loading, host polls, orders and the handling of callers' requests. */
@NullMarked
package org.cicadalead.adapters.work;

import org.jspecify.annotations.NullMarked;
