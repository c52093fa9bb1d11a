/** Terms, limits, phases and attempt outcomes of callers' requests in an entry process. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.request;
