/** Contains the adapters of long jobs: the callers' routes, the runner that drives the platform, and the events. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.job;
