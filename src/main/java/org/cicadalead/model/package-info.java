/** Immutable records and closed enums of the domain; plain data without input, output, clock or thread. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model;
