/**
 * The requests bench: measures the request path against direct requests, the cost of a routing decision, and strategies
 * to keep the slot limits of workers in virtual time.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.requests;
