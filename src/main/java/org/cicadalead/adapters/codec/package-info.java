/** Encodes domain records as MessagePack and JSON. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.codec;
