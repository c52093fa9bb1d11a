/** Handling of callers' requests, from the HTTP server of the entry process to an upstream and back. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.request;
