/** Decides which task of which job runs on which host, and when a machine may go down for maintenance. */
@NullMarked
package org.cicadalead.logic.work;

import org.jspecify.annotations.NullMarked;
