/** Merging and checking of configuration units. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.configuration;
