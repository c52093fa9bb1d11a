/** Adapters: protocols, files, clocks and threads around the decision logic. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters;
