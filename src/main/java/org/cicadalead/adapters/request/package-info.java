/** The path of a caller's request: from the entry's HTTP server to an upstream and back. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.request;
