/**
 * Connects to the users' platform: its settings, store, hosts, machines, operators and callers. Contains the names,
 * formats and requests of the platform's interfaces, and makes no decisions.
 */
@NullMarked
package org.cicadalead.platform;

import org.jspecify.annotations.NullMarked;
