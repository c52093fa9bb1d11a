/** Long jobs: what was submitted, how far each has come, and what the platform reports of its tasks. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.job;
