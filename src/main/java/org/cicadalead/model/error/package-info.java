/** The closed list of error kinds, their answers, and the exception that carries them. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.error;
