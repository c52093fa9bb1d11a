/** Contains the model of long jobs: submissions, the state of each job and the tasks that the platform reports. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.job;
