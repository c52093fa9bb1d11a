/** The keys that entry processes and operators share, and the authentication of operators' requests. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.security;
