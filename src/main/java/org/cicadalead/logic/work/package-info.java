/**
 * Pure scheduling decisions: which task runs on which host, which pool a machine belongs to, and when it may go down
 * for maintenance.
 */
@NullMarked
package org.cicadalead.logic.work;

import org.jspecify.annotations.NullMarked;
