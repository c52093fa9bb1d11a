/** Typed names and identifiers of the entities that the system manages. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.identity;
