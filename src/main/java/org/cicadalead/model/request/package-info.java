/** A caller's request on its way through an entry process: terms, phases and outcomes of attempts. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.request;
