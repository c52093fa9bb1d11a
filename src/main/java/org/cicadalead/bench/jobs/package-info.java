/** The bench of long jobs: planner, fold and runner at the target's size in virtual time. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.jobs;
