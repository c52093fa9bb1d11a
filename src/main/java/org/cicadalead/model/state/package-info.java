/** The shared state that every process folds from the platform log. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.model.state;
