/** Clients of the platform's published protocol over HTTP and JSON. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.platform;
