/** Pure decisions: no input or output, no clock, no threads. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic;
