/** The fold of the platform log into the shared state, and the commands of configuration and membership. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.state;
