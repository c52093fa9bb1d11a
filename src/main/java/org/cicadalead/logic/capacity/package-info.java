/** Availability budgets and what they leave for planned work. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.capacity;
