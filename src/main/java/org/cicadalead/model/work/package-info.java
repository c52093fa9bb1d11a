/** Jobs and their tasks, the hosts that run them, and the records stored of both. */
@NullMarked
package org.cicadalead.model.work;

import org.jspecify.annotations.NullMarked;
