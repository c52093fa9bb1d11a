package org.cicadalead.logic.request;

import org.cicadalead.model.request.RequestTerms;

/**
 * A request that waits for a slot. Immutable.
 *
 * @param terms its terms
 * @param sequence order of arrival in its queue
 * @param item item that the owner of the queue stores with it
 * @param <T> type of the item
 */
public record WaitingRequest<T>(RequestTerms terms, long sequence, T item) {}
