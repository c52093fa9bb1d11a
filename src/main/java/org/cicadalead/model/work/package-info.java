/** Jobs of many tasks, the hosts that run them, and what is kept of both. */
@NullMarked
package org.cicadalead.model.work;

import org.jspecify.annotations.NullMarked;
