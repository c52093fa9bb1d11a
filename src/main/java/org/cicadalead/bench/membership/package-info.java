/** The membership bench: measures what membership costs each entry process, over loopback sockets. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.membership;
