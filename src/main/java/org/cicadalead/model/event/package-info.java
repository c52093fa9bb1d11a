/** Defines the numbered events of the timeline. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.event;
