/** The keys that entry processes and operators share, and the signatures of operators' requests. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.security;
