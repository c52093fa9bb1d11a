/** The jobs bench: runs the planner, the fold and the job runner at the target size in virtual time. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.bench.jobs;
