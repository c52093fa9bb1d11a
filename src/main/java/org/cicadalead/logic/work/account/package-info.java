/** Pure decisions on client accounts: what their runs take, whether a start fits their limits, and whose turn it is. */
@NullMarked
package org.cicadalead.logic.work.account;

import org.jspecify.annotations.NullMarked;
