/** Commands: what processes append to the platform log, and what the fold makes of them. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.command;
