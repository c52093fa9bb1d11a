/** How many appends to the platform log a process may make, and which ones go first. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.append;
