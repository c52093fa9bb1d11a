/** Reads settings and configuration folders in TOML. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.toml;
