/** Long jobs around the pure decisions: callers' routes, the runner that asks the platform, and their events. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.job;
