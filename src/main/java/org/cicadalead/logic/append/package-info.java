/** Limits the appends of a process to the platform log and defines their priorities. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.append;
