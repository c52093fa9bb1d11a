/**
 * In-memory stand-ins for the platform and for upstreams, for tests, benchmarks, the quickstart and the command line.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.standin;
