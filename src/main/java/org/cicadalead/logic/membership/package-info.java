/** Decisions on members: who joins and leaves, which links carry heartbeats, who may remove a dead member. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.membership;
