/** Helpers around the JDK's HTTP server and client. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.http;
