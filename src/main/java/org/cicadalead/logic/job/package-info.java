/** Pure decisions on long jobs: the fold of their commands, the placement planner and the reconciler of tasks. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.job;
