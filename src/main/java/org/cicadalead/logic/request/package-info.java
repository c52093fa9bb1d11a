/** Decisions about requests: routing, limits, queues, retries, ejection and idempotency keys. */
@org.jspecify.annotations.NullMarked
package org.cicadalead.logic.request;
