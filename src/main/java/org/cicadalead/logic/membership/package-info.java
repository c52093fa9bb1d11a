/** Decisions about members: who joins and leaves, which links carry heartbeats, and who may remove a failed member. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.membership;
