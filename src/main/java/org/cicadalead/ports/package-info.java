/** Interfaces of the decision logic to its environment: platform, time, peers, upstreams and events. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.ports;
