/** The replica of the shared state: following the log and appending to it. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.replica;
