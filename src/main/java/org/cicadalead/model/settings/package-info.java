/** Settings of one process. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.settings;
