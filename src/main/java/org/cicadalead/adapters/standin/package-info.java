/** In-memory stand-ins for the platform and for upstreams, for tests, benchmarks and the quickstart. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.standin;
