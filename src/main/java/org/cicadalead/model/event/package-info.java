/** Numbered events of the time line. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.event;
