/** Commands that processes append to the platform log, and their outcomes. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.command;
