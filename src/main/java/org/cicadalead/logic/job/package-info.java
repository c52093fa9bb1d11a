/** Contains the pure logic of long jobs: the fold of their commands, the placement planner and the task reconciler. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.job;
