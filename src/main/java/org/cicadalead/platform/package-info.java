/**
 * Speaks to the users' platform: its settings, store, hosts, machines, operators and callers. Holds names, formats and
 * calls, and decides nothing.
 */
@NullMarked
package org.cicadalead.platform;

import org.jspecify.annotations.NullMarked;
