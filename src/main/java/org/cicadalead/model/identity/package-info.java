/** Typed names of the things the system manages. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.identity;
