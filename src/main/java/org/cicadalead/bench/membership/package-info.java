/** Measures what membership costs each entry process, over real sockets on loopback. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.membership;
