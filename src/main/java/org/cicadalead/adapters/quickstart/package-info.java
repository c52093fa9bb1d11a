/** Runs the example deployments on embedded stand-ins and checks them by the counts of callers and workers. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.quickstart;
