/** Calls and heartbeats between entry processes: length-prefixed, authenticated MessagePack frames over TCP. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.adapters.peer;
