package org.cicadalead.adapters.request;

import java.util.List;
import java.util.Map;

/**
 * An upstream's whole answer. Immutable.
 *
 * @param status its status
 * @param headers its header fields, without those of the connection
 * @param body its body; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
record StoredResponse(int status, Map<String, List<String>> headers, byte[] body) {}
