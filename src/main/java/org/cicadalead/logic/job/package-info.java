/** The fold of commands on long jobs. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.job;
