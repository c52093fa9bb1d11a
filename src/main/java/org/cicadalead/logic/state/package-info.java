/**
 * Folds the platform log into the shared state; contains the folds of checkpoint, configuration and membership
 * commands.
 */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.state;
