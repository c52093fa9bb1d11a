/** Fold of the commands on hosts: observations, moves and maintenance. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.fleet;
