/** The administration port: health, metrics, state and operators' commands. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.administration;
