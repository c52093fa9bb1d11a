/** The project's own small stand-ins for the platform and for upstreams. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.standin;
