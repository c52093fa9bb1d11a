/** The planners: pure decisions on the shared state, each a command that the log's order confirms or rejects. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.planning;
