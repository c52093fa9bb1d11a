/** Measures the request path: against the direct way, by decision, and ways to keep workers' limits in virtual time. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.requests;
