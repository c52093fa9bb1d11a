package org.cicadalead.adapters.request;

import java.util.List;
import java.util.Map;

/**
 * A complete response of an upstream. Immutable.
 *
 * @param status HTTP status
 * @param headers header fields, without hop-by-hop fields
 * @param body body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record StoredResponse(int status, Map<String, List<String>> headers, byte[] body) {}
