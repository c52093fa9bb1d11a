/** The operators' configuration: units (files), the definitions in them, and the merged configuration. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.configuration;
