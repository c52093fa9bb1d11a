/**
 * Pure decisions on waiting work: in which order jobs get room, and how long their tasks can be expected to run. Knows
 * nothing of the state of a term.
 */
@NullMarked
package org.cicadalead.logic.work.waiting;

import org.jspecify.annotations.NullMarked;
