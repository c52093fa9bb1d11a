/** What the decision logic needs from outside: the platform, time, peers, upstreams, events. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.ports;
