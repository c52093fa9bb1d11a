/** Availability budgets, and the capacity that they leave for planned work. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.capacity;
