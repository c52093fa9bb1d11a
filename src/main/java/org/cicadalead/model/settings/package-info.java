/** Defines the settings of a process. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.settings;
