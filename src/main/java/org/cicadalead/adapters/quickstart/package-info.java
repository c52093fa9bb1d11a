/** The example deployments on embedded stand-ins, judged by callers and workers. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.quickstart;
