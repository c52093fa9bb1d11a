/** Serves health, metrics, state and operators' commands on the administration port. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.administration;
