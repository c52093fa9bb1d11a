/** Decisions on a request's way: routing, limits, queues, retries, ejection, idempotency keys. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.request;
