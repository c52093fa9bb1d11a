/** Defines all kinds of errors, their responses, and the exception that carries them. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.error;
