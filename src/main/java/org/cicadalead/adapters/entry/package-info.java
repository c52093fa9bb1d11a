/** Assembles, starts and stops the components of an entry process. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.entry;
